//! Sends HTTP requests to an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// A complete response as a caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// The `rhubarbrill-verdict` header; empty if absent.
    pub verdict: String,
    pub retry_after: Option<String>,
    /// The endpoint's digest of the body that it received, from the `x-body-digest`
    /// header.
    pub digest: Option<String>,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the `reason` member of a problem details body; empty if absent.
    pub fn reason(&self) -> String {
        let body: serde_json::Value =
            serde_json::from_slice(&self.body).unwrap_or_default();
        body["reason"].as_str().unwrap_or_default().to_owned()
    }
}

/// The reason why a call got no complete response.
#[derive(Debug)]
pub struct CallError(pub String);

/// A request that can be sent any number of times.
#[derive(Clone, Debug, Default)]
pub struct Call {
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    /// Returns a call that authenticates with a workspace's key.
    pub fn keyed(token: &str) -> Self {
        Self::default().header("authorization", &format!("Bearer {token}"))
    }

    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets how long the endpoint works on the request.
    #[must_use]
    pub fn work(self, duration: Duration) -> Self {
        self.header("x-work-ms", &duration.as_millis().to_string())
    }

    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request as a POST over a new connection.
    pub fn post(&self, address: SocketAddr, path: &str) -> Result<Answer, CallError> {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(60)))
            .build()
            .into();
        let mut request = agent.post(format!("http://{address}{path}"));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let call_error = |error: ureq::Error| CallError(error.to_string());
        let mut response = request.send(&self.body).map_err(call_error)?;
        let header_text =
            |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        let (verdict, retry_after, digest) = (
            header_text("rhubarbrill-verdict"),
            header_text("retry-after"),
            header_text("x-body-digest"),
        );
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_vec();
        Ok(Answer {
            status,
            verdict: verdict.unwrap_or_default(),
            retry_after,
            digest,
            body: body.map_err(call_error)?,
        })
    }
}

/// Fetches a page from an entry host's listener for operators.
pub fn get_operator_page(address: SocketAddr, path: &str) -> Result<String, CallError> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into();
    let call_error = |error: ureq::Error| CallError(error.to_string());
    let mut response = agent
        .get(format!("http://{address}{path}"))
        .call()
        .map_err(call_error)?;
    response.body_mut().read_to_string().map_err(call_error)
}
