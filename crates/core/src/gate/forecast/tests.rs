use super::*;

const RUN_TIME: Duration = Duration::from_secs(1);

#[test]
fn doubt_grows_with_late_requests_and_fades_with_those_in_time() {
    struct Case {
        record_late: u32,
        record_on_time: u32,
        expected: std::ops::RangeInclusive<u64>,
    }
    // The workspace has 20 requests ahead on 2 slots, the pool 40 on 10.
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
            record_late: 0,
            record_on_time: 0,
            expected: 4..=4,
        },
        Case {
            record_late: 35,
            record_on_time: 0,
            expected: 7..=7,
        },
        Case {
            record_late: 1_000,
            record_on_time: 0,
            expected: 9..=10,
        },
        Case {
            record_late: 1_000,
            record_on_time: 10_000,
            expected: 4..=4,
        },
    ];
    for case in cases {
        let mut forecast = Forecast::default();
        (0..case.record_late).for_each(|_| forecast.record_late());
        (0..case.record_on_time).for_each(|_| forecast.record_on_time());
        let wait = forecast.wait(RUN_TIME, own, all).as_secs();
        assert!(
            case.expected.contains(&wait),
            "{wait} s after {}",
            case.record_late
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
