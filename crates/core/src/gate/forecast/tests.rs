use super::*;

const RUN: Duration = Duration::from_secs(1);

#[test]
fn doubt_grows_with_late_requests_and_fades_with_those_in_time() {
    struct Case {
        missed: u32,
        met: u32,
        expected: std::ops::RangeInclusive<u64>,
    }
    // The workspace has 20 requests before it on 2 slots, the pool 40 on 10.
    let own = Load {
        ahead: 20,
        slots: 2.0,
    };
    let all = Load {
        ahead: 40,
        slots: 10.0,
    };
    let cases = [
        Case {
            missed: 0,
            met: 0,
            expected: 4..=4,
        },
        Case {
            missed: 35,
            met: 0,
            expected: 7..=7,
        },
        Case {
            missed: 1_000,
            met: 0,
            expected: 9..=10,
        },
        Case {
            missed: 1_000,
            met: 10_000,
            expected: 4..=4,
        },
    ];
    for case in cases {
        let mut forecast = Forecast::default();
        (0..case.missed).for_each(|_| forecast.missed());
        (0..case.met).for_each(|_| forecast.met());
        let wait = forecast.wait(RUN, own, all).as_secs();
        assert!(
            case.expected.contains(&wait),
            "{wait} s after {}",
            case.missed
        );
    }
}

#[test]
fn no_slots_is_a_wait_without_end() {
    let load = Load {
        ahead: u32::MAX,
        slots: 0.0,
    };
    let wait = Forecast::default().wait(Duration::MAX, load, load);
    assert_eq!(wait, Duration::MAX);
}
