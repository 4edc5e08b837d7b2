//! Open-loop arrivals, generated from a seed: the same scenario always gives the same requests at the same times.

use crate::gateway_settings::GatewaySettings;
use crate::scenario::{Scenario, Share};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, WeightedIndex};

/// A request and the time at which to send it.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// Time to send it, s.
    pub at: f64,
    /// Index of the gateway to send it to.
    pub gateway: u16,
    /// Index of the customer.
    pub customer: u32,
    /// Index of the class in the settings.
    pub class: u8,
    /// Index of the plan in the settings.
    pub plan: u8,
    /// Client timeout, scenario.
    pub timeout: f64,
    /// When the client gives up on purpose, s after sending; `None` if it waits for its timeout.
    pub give_up: Option<f64>,
}

/// The rate at `t`, requests/s: the scenario's rate times the factors of the active bursts.
pub fn rate_at(scenario: &Scenario, t: f64) -> f64 {
    scenario
        .load
        .bursts
        .iter()
        .filter(|b| b.at <= t && t < b.at + b.span)
        .fold(scenario.load.rate, |r, b| r * b.times)
}

/// All requests of the run, ordered by time. Each customer keeps one plan and sends to all gateways, as the front
/// tier does. The error names a class or plan that the gateway settings lack.
pub fn arrivals(scenario: &Scenario, settings: &GatewaySettings) -> Result<Vec<ScheduledRequest>, String> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let index = |list: &[Share], find: &dyn Fn(&str) -> Option<usize>, field: &str| {
        let ids = list
            .iter()
            .map(|c| find(&c.name).ok_or(format!("`{field}`: `{}` is not in the gateway settings", c.name)));
        let ids = ids.collect::<Result<Vec<_>, _>>()?;
        let pick = WeightedIndex::new(list.iter().map(|c| c.share)).map_err(|e| format!("`{field}`: {e}"))?;
        Ok::<_, String>((ids, pick))
    };
    let (classes, class_pick) = index(&scenario.load.classes, &|n| settings.class(n), "load.classes")?;
    let (plans, plan_pick) = index(&scenario.load.plans, &|n| settings.plan(n), "load.plans")?;
    let plan_of: Vec<u8> =
        (0..scenario.load.customers).map(|_| plans[plan_pick.sample(&mut rng)] as u8).collect();
    let peak =
        scenario.load.bursts.iter().fold(scenario.load.rate, |r, b| r.max(scenario.load.rate * b.times));
    let mut out = Vec::new();
    if peak <= 0.0 {
        return Ok(out);
    }
    // Thinning: draw arrivals at the peak rate and keep each with the probability `rate_at(t) / peak`.
    let gap = Exp::new(peak).map_err(|e| e.to_string())?;
    let mut t = 0.0;
    loop {
        t += gap.sample(&mut rng);
        if t >= scenario.duration_s {
            return Ok(out);
        }
        if rng.gen::<f64>() * peak > rate_at(scenario, t) {
            continue;
        }
        let customer = rng.gen_range(0..scenario.load.customers);
        let class = classes[class_pick.sample(&mut rng)];
        let [lo, hi] = scenario.load.timeout_share;
        let timeout = settings.classes[class].deadline * rng.gen_range(lo..=hi);
        let give_up =
            (rng.gen::<f64>() < scenario.load.give_up_early).then(|| timeout * rng.gen_range(0.05..0.9));
        out.push(ScheduledRequest {
            at: t,
            gateway: rng.gen_range(0..scenario.gateways) as u16,
            customer,
            class: class as u8,
            plan: plan_of[customer as usize],
            timeout,
            give_up,
        });
    }
}

#[cfg(test)]
mod tests;
