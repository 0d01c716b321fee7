use super::*;
use crate::endpoint_source::StaticEndpoints;
use crate::start_times::StartTimes;
use heronhoist_decision::Span;
use std::time::Duration;
use tokio::task::yield_now;

type Line = (String, EndpointState, bool);

#[derive(Default)]
struct Notes(RefCell<Vec<(bool, Vec<Line>)>>);

impl EndpointObserver<u16> for Notes {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        let line = |member: EndpointInfo<u16>| (member.name, member.state, member.started_at.is_some());
        self.0.borrow_mut().push((list.is_complete, list.endpoints.into_iter().map(line).collect()));
    }
    fn on_failure(&self) {}
}

fn line(name: &str, state: EndpointState, cold: bool) -> Line {
    (name.to_string(), state, cold)
}

#[tokio::test]
async fn the_stricter_of_two_words_holds_and_who_comes_back_is_cold() {
    use EndpointState::{Draining, Serving};
    let notes = Rc::new(Notes::default());
    let (tell, drained) = watch::channel(BTreeSet::from(["a".to_string()]));
    let listed =
        |state| vec![EndpointInfo { state, ..EndpointInfo::serving("a", 1) }, EndpointInfo::serving("b", 2)];
    let (list, lists) = watch::channel(listed(Serving));
    let starts = Rc::new(RefCell::new(StartTimes::new(Clock::new(None))));
    let feed =
        EndpointSink::new(Rc::clone(&notes) as Rc<dyn EndpointObserver<u16>>, Rc::default(), starts, None);
    let run = Box::new(DrainableSource::new(Box::new(StaticEndpoints::new(lists)), drained, &[])).run(feed);
    let heard = async |wanted: Vec<(bool, Vec<Line>)>| {
        while notes.0.borrow().len() < wanted.len() {
            yield_now().await;
        }
        yield_now().await;
        assert_eq!(notes.0.take(), wanted);
    };
    let change = async {
        heard(vec![(true, vec![line("a", Draining, false), line("b", Serving, false)])]).await;
        tell.send_replace(BTreeSet::from(["b".to_string(), "unknown".to_string()]));
        heard(vec![(false, vec![line("a", Serving, true), line("b", Draining, false)])]).await;
        // Its source drains it too: that the other word ends changes nothing.
        tell.send_replace(BTreeSet::from(["a".to_string()]));
        heard(vec![(false, vec![line("a", Draining, true), line("b", Serving, true)])]).await;
        list.send_replace(listed(Draining));
        heard(vec![(true, vec![line("a", Draining, true), line("b", Serving, true)])]).await;
        tell.send_replace(BTreeSet::new());
        heard(vec![(false, vec![line("a", Draining, true)])]).await;
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
}

/// A source that says nothing for as long as anybody looks.
struct Silent;

impl EndpointSource<u16> for Silent {
    fn run(self: Box<Self>, feed: EndpointSink<u16>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            let _feed = feed;
            std::future::pending().await
        })
    }
}

#[derive(Default)]
struct Starts(RefCell<Vec<Option<Time>>>);

impl EndpointObserver<u16> for Starts {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        self.0.borrow_mut().extend(list.endpoints.into_iter().map(|member| member.started_at));
    }
    fn on_failure(&self) {}
}

/// While the source has not answered yet, the other word is told in lines of the list that is known: by the pool's clock, and
/// with the starts that the pool has settled in them.
#[tokio::test(start_paused = true)]
async fn before_the_first_list_the_known_starts_are_those_that_were_settled() {
    let (epoch, hour) = (Time(1_800_000_000_000_000), Span::from_ms(3.6e6));
    let heard = Rc::new(Starts::default());
    let known = EndpointInfo { started_at: Some(epoch + hour), ..EndpointInfo::serving("a", 1) };
    let starts = Rc::new(RefCell::new(StartTimes::new(Clock::new(Some(epoch)))));
    starts.borrow_mut().settle_saved(&mut [known.clone()]);
    tokio::time::advance(Duration::from_secs(1)).await;
    let feed =
        EndpointSink::new(Rc::clone(&heard) as Rc<dyn EndpointObserver<u16>>, Rc::default(), starts, None);
    let (tell, drained) = watch::channel(BTreeSet::new());
    let run = Box::new(DrainableSource::new(Box::new(Silent), drained, &[known])).run(feed);
    let change = async {
        yield_now().await;
        for (told, names) in [(1, BTreeSet::from(["a".to_string()])), (2, BTreeSet::new())] {
            tell.send_replace(names);
            while heard.0.borrow().len() < told {
                yield_now().await;
            }
        }
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
    assert_eq!(*heard.0.borrow(), [Some(epoch), Some(epoch + Span::from_ms(1000.0))]);
}
