//! The requests of a member, by the responses that it gets.

use heronhoist_coordination::lease::LeaseTerms;
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo, MembershipState};
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult};
use heronhoist_coordination::wire::{Request, Response};
use heronhoist_coordination::Time;

const TERMS: LeaseTerms = LeaseTerms { duration: 1_500_000, max_clock_drift: 0.01 };
const SECOND: Time = 1_000_000;

fn reply(result: CommandResult) -> Response {
    Response::Reply(result, TERMS)
}

fn command(request: Request) -> Command {
    match request {
        Request::Command(CommandRequest { command, .. }) => command,
        other => panic!("{other:?} is no command"),
    }
}

/// The process's next request, as soon as it is due, and the time of it.
fn next_request(holder: &mut LeaseHolder, now: &mut Time) -> Request {
    *now = holder.next_request_at().expect("no request is in flight").max(*now);
    holder.next_request(*now).expect("a request is due")
}

/// A member that holds its lease and has reported that it can serve; stops being ready, and sends the report of that.
fn member_that_reports_its_shutdown(now: &mut Time) -> LeaseHolder {
    let info = MemberInfo {
        name: "n1".into(),
        site: "east".into(),
        version: "1".into(),
        address: "127.0.0.1:9".into(),
    };
    let mut holder = LeaseHolder::new(info, 7, *now);
    holder.set_ready(true, *now);
    assert!(matches!(command(next_request(&mut holder, now)), Command::Join { .. }));
    holder.handle_response(*now, Some(&reply(CommandResult::Joined { incarnation: 1 })), 0, 0.5);
    assert_eq!(next_request(&mut holder, now), Request::Renew);
    holder.handle_response(*now, Some(&Response::Renewed(TERMS)), 0, 0.5);
    assert!(matches!(command(next_request(&mut holder, now)), Command::Report { ready: true, .. }));
    holder.handle_response(*now, Some(&reply(CommandResult::Done(2))), 0, 0.5);
    assert_eq!(holder.held_incarnation(*now), Some(1));
    holder.set_ready(false, *now);
    assert!(matches!(command(next_request(&mut holder, now)), Command::Report { ready: false, .. }));
    holder
}

/// In an upgrade the old process reports that it shuts down while the new one waits for the lease. The refusal of the report must not
/// make the old one join again: it would displace its own successor, which then leaves the fleet for good.
#[test]
fn a_process_whose_report_is_refused_does_not_displace_its_successor() {
    let mut now = SECOND;
    let mut holder = member_that_reports_its_shutdown(&mut now);
    holder.handle_response(now, Some(&reply(CommandResult::NotLiving)), 0, 0.5);
    assert_eq!(holder.held_incarnation(now), None);
    assert_eq!(next_request(&mut holder, &mut now), Request::Renew);
    holder.handle_response(now, Some(&Response::Superseded), 0, 0.5);
    assert_eq!(holder.membership_state(), MembershipState::Superseded);
    assert!(matches!(command(next_request(&mut holder, &mut now)), Command::Leave { incarnation: 1, .. }));
    holder.handle_response(now, Some(&reply(CommandResult::Done(3))), 0, 0.5);
    assert_eq!(holder.next_request(now + 3600 * SECOND), None, "it does not join again");
}

/// A process whose lease has expired joins again, also if it learns of the expiry by a report.
#[test]
fn a_process_whose_report_is_refused_after_its_lease_has_expired_joins_again() {
    let mut now = SECOND;
    let mut holder = member_that_reports_its_shutdown(&mut now);
    holder.handle_response(now, Some(&reply(CommandResult::NotLiving)), 0, 0.5);
    assert_eq!(next_request(&mut holder, &mut now), Request::Renew);
    holder.handle_response(now, Some(&Response::Expired), 0, 0.5);
    assert_eq!(holder.membership_state(), MembershipState::Ended);
    let join = command(next_request(&mut holder, &mut now));
    assert!(matches!(join, Command::Join { previous_incarnation: 1, .. }), "{join:?}");
}
