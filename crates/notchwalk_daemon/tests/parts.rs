//! Tests of the components that all daemons share.

use std::{
    cell::Cell,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use notchwalk_core::{Clock, TimeSource};
use notchwalk_daemon::{bind, settings, MetricSet, StallWatch, SuspensionWatch};

/// The clocks of a simulated machine.
#[derive(Clone, Default)]
struct Machine {
    running: Arc<Mutex<Duration>>,
    suspended: Arc<Mutex<Duration>>,
}

impl Machine {
    fn run(&self, time: Duration) {
        *self.running.lock().expect("no panic") += time;
    }

    fn suspend(&self, time: Duration) {
        *self.suspended.lock().expect("no panic") += time;
    }
}

impl TimeSource for Machine {
    fn boot_time(&self) -> Duration {
        self.monotonic_time() + *self.suspended.lock().expect("no panic")
    }

    fn monotonic_time(&self) -> Duration {
        *self.running.lock().expect("no panic")
    }
}

#[test]
fn suspension_is_reported_once() {
    let machine = Machine::default();
    let clock = Clock::with_source(Arc::new(machine.clone()));
    let watch = SuspensionWatch::new(&clock);
    machine.run(Duration::from_secs(60));
    assert_eq!(watch.check(&clock), None, "reported without a suspension");
    machine.suspend(Duration::from_millis(100));
    assert_eq!(
        watch.check(&clock),
        None,
        "reported below the detection threshold"
    );
    machine.suspend(Duration::from_secs(5));
    assert_eq!(watch.check(&clock), Some(Duration::from_secs(5)));
    assert_eq!(watch.check(&clock), None);
    assert_eq!(watch.resume_count(), 1);
}

#[test]
fn stall_is_told_from_suspension_and_from_a_timer_in_time() {
    const TIMER: Duration = Duration::from_millis(50);
    let machine = Machine::default();
    let clock = Clock::with_source(Arc::new(machine.clone()));
    let watch = StallWatch::start(&clock);
    machine.run(TIMER);
    machine.suspend(Duration::from_secs(5));
    assert_eq!(watch.finish(&clock, TIMER), None);
    let watch = StallWatch::start(&clock);
    machine.run(TIMER + Duration::from_secs(3));
    assert_eq!(watch.finish(&clock, TIMER), Some(Duration::from_secs(3)));
}

#[test]
fn assigned_port_is_returned_and_bound_port_is_rejected() {
    let mut addr: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let listener = bind(&mut addr).expect("a free port");
    assert_eq!(listener.local_addr().expect("a bound socket"), addr);
    let mut bound_addr = addr;
    let error = bind(&mut bound_addr).expect_err("the port is taken");
    assert!(error.to_string().contains(&addr.to_string()), "{error}");
}

#[test]
fn all_findings_of_a_settings_file_are_reported() {
    let read = |ini: &notchwalk_bundle::IniFile| {
        let section = ini.section("daemon");
        let port = section.required::<u16>("port");
        let name = section.required::<String>("name");
        Some((port?, name?))
    };
    let good = settings::parse("a.ini", "[daemon]\nport = 80\nname = x\n", read);
    assert_eq!(good.expect("no findings"), (80, "x".to_owned()));
    let result = settings::parse("a.ini", "[daemon]\nport = many\nsurprise = 1\n", read);
    let text = result.expect_err("three findings").to_string();
    for expected in ["a.ini", "port", "name", "surprise"] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
    let missing = settings::load(std::path::Path::new("no/such/file.ini"), read);
    assert!(missing.is_err());
}

#[test]
fn registered_metrics_are_rendered() {
    let set = MetricSet::new();
    set.counter("a_total", "counted").inc();
    set.counter_vec("b_total", "by kind", &["kind"])
        .with_label_values(&["x"])
        .inc_by(2);
    set.float_gauge("c", "a fraction").set(0.5);
    let text = set.encode();
    for line in ["a_total 1", "b_total{kind=\"x\"} 2", "c 0.5"] {
        assert!(text.contains(line), "{line}: {text}");
    }
}

#[test]
#[should_panic(expected = "registered once")]
fn duplicate_metric_name_panics() {
    let set = MetricSet::new();
    set.gauge("a", "first");
    set.gauge("a", "second");
}

#[test]
fn notification_before_wait_is_not_lost() {
    let wake = notchwalk_daemon::Wake::default();
    let waited = Cell::new(false);
    wake.notify();
    let run = async {
        wake.wait().await;
        waited.set(true);
        Ok(())
    };
    notchwalk_daemon::block_on(run).expect("a runtime");
    assert!(waited.get());
}
