//! Reads the `settings` object of a deployment, for the simulator adapter and for the agent.

mod schema;

use heronhoist_decision::*;
use serde::Deserialize;

/// A settings object as it was read. Unknown keys are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub struct SettingsFile(schema::SettingsObject);

impl SettingsFile {
    /// Converts the object to the settings of a balancer. Absent keys keep the defaults of [`Settings`].
    pub fn settings(&self) -> Settings {
        let object = &self.0;
        let default = Settings::default();
        let span = |ms: Option<f64>, fallback: Span| ms.map_or(fallback, Span::from_ms);
        let rules = &object.rules;
        let classes = object.classes.iter().map(class).collect();
        let field = |name: &String| match name.as_str() {
            "inflight" => ReportField::InFlight,
            "queue" => ReportField::Queue,
            "util" => ReportField::Utilisation,
            "latency_ms" => ReportField::ServiceTime,
            "qps" => ReportField::Rate,
            "eps" => ReportField::Errors,
            _ => ReportField::Other,
        };
        Settings {
            balancers: object.balancers.unwrap_or(default.balancers),
            zone: ZoneId(object.zone),
            classes,
            tenants: object
                .parties
                .iter()
                .map(|tenant| Tenant {
                    quota_fraction: tenant.fraction,
                    quota_per_second: tenant.allowance_per_s,
                })
                .collect(),
            over_quota_weight: object.over_share_worth.unwrap_or(default.over_quota_weight),
            weight_by_work: object.worth_by == Some(schema::WeightUnit::Work),
            score_weights: ScoreWeights {
                overall: object.goal.whole,
                worst_window: object.goal.worst_window,
                worst_class: object.goal.worst_class,
                worst_tenant: object.goal.worst_tenant,
            },
            costs: Costs {
                cross_zone: object.penalties.cross_zone,
                health_check: object.penalties.probe,
                handshake: object.penalties.handshake,
                connection: object.penalties.connection,
                wasted_work: object.penalties.waste,
                late_failure: object.penalties.late_fail,
            },
            discovery: match object.discovery {
                Some(schema::Discovery::OnRequest) => Discovery::OnRequest,
                Some(schema::Discovery::Pushed) | None => Discovery::Pushed,
            },
            max_poll_interval: span(rules.ask_within_ms, default.max_poll_interval),
            report_source: match object.feedback.source {
                schema::ReportSource::Piggyback => ReportSource::Responses,
                schema::ReportSource::Pull => ReportSource::HealthChecks,
                schema::ReportSource::Silent => ReportSource::None,
            },
            report_fields: object.feedback.fields.iter().map(field).collect(),
            weight_meaning: match object.weights {
                Some(schema::WeightMeaning::Nominal | schema::WeightMeaning::Rough) => WeightMeaning::Size,
                Some(schema::WeightMeaning::Live) => WeightMeaning::CapacityPerLoad,
                Some(schema::WeightMeaning::Silent) | None => WeightMeaning::None,
            },
            key_affinity: object.family_info.warm_keys,
            max_attempts: object.limits.max_attempts.unwrap_or(default.max_attempts),
            hedging: object.limits.second_copies,
            cancel: object.limits.cancel,
            health_checks: object.limits.probes,
            gossip: object.limits.peers,
            retry_after: object.limits.retry_after,
            max_retry_after: match object.limits.max_retry_after_ms {
                ms if ms > 0.0 => Span::from_ms(ms),
                _ => default.max_retry_after,
            },
            drain_grace: span(rules.stop_sending_within_ms, default.drain_grace),
            initial_capacity_share: rules.cold_share.unwrap_or(default.initial_capacity_share),
            warm_up_time: span(rules.warm_after_ms, default.warm_up_time),
            overload_factor: rules.overload_factor.unwrap_or(default.overload_factor),
            overload_tolerance: span(rules.fall_ms, default.overload_tolerance),
            event_interval: span(object.period_ms, default.event_interval),
        }
    }

    /// Returns the names of the request classes, in the order of [`Settings::classes`].
    pub fn class_names(&self) -> Vec<String> {
        self.0.classes.iter().map(|class| class.name.clone()).collect()
    }

    /// Returns the names of the tenants, in the order of [`Settings::tenants`].
    pub fn tenant_names(&self) -> Vec<String> {
        self.0.parties.iter().map(|tenant| tenant.name.clone()).collect()
    }

    /// Returns the names of the zones, in the order of their numbers.
    pub fn zone_names(&self) -> &[String] {
        &self.0.zones
    }

    /// Returns the names of the machine types, in the order of their numbers.
    pub fn machine_type_names(&self) -> &[String] {
        &self.0.kinds
    }

    /// Returns the names of a load report's fields, in the order of [`Settings::report_fields`].
    pub fn report_field_names(&self) -> &[String] {
        &self.0.feedback.fields
    }

    /// Returns the time after which a record server closes an idle connection.
    pub fn keepalive(&self) -> Option<Span> {
        self.0.limits.keepalive_ms.map(Span::from_ms)
    }

    /// Returns the time after which an attempt to connect has failed.
    pub fn connect_timeout(&self) -> Option<Span> {
        self.0.limits.connect_timeout_ms.map(Span::from_ms)
    }

    /// Returns the maximum number of requests that an agent may have open.
    pub fn max_open_requests(&self) -> Option<usize> {
        self.0.limits.max_open.map(|count| count as usize)
    }
}

fn class(object: &schema::ClassObject) -> Class {
    let effect = match object.effect {
        schema::Effect::Idempotent => Effect::Idempotent,
        schema::Effect::AtMostOnce => Effect::AtMostOnce,
        schema::Effect::Deduplicated => Effect::Deduplicated {
            scope: match object.group {
                Some(schema::Scope::All) => DeduplicationScope::All,
                Some(schema::Scope::Zone) => DeduplicationScope::Zone,
                // Without a `group`, the narrowest scope is safe.
                Some(schema::Scope::Cell) | None => DeduplicationScope::Cell,
            },
            window: Span::from_ms(object.dedup_window_ms),
        },
    };
    Class {
        effect,
        latency_objective: Span::from_ms(object.aim_ms),
        objective_work_factor: object.aim_stretch.unwrap_or(0.0),
        deadline: Span::from_ms(object.deadline_ms),
        priority_weight: object.points,
        late_weight_share: object.late_worth,
        stream: object.stream,
    }
}

#[cfg(test)]
mod tests;
