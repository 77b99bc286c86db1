//! The log lines on the ends of requests.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Mutex;

use ggt_daemon::dispatch::EndGuard;
use ggt_daemon::dispatch::RequestEnd;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineCollector;

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().expect("should lock").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// The lines on the end of a request whose task does `work` under a guard.
fn lines_of<F>(id: &str, work: F) -> Vec<String>
where
    F: FnOnce(&RequestEnd),
{
    let end = RequestEnd::default();
    // The result shows only whether the work panicked, as it does on purpose.
    let _ = catch_unwind(AssertUnwindSafe(|| {
        let _guard = EndGuard::new(id, &end);
        work(&end);
    }));
    let mark = format!("request_id={id} ");
    let lines = LINES.lock().expect("should lock");
    lines.iter().filter(|line| line.contains(&mark)).cloned().collect()
}

// Guards against a request whose end is in no log line, or in two, since its task panicked.
#[test]
fn request_whose_task_panics_has_one_line_on_its_end() {
    log::set_logger(&LineCollector).expect("should be the only logger");
    log::set_max_level(log::LevelFilter::Info);
    let unlogged = lines_of("early", |_| panic!("after the head of the response"));
    let expected = "event=cut request_id=early target=- bytes=- caller_left=false cause=panic";
    assert_eq!(unlogged, [expected]);
    let logged = lines_of("late", |end| {
        end.mark_logged();
        panic!("after the line on the end");
    });
    assert!(logged.is_empty(), "{logged:?}");
    let sound = lines_of("sound", RequestEnd::mark_logged);
    assert!(sound.is_empty(), "{sound:?}");
}
