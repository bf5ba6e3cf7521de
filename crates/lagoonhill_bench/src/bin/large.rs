//! Compares placement policies in the deterministic simulation of a large fleet
//! with unequal load per entry. Prints CSV; runs with one seed give equal results.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use lagoonhill_bench::{
    Burst, KindResult, LargeResult, LargeRun, LeastOutstanding, TwoChoices, run_large,
};
use lagoonhill_core::Timing;
use lagoonhill_core::entry::LeastExpectedFinish;
use plotters::prelude::*;

/// Simulates a large fleet with unequal load per entry.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Length of the arrivals in seconds
    #[bpaf(argument("SECONDS"), fallback(34), display_fallback)]
    seconds: u64,
    /// Entries
    #[bpaf(argument("COUNT"), fallback(35), display_fallback)]
    entries: usize,
    /// Targets
    #[bpaf(argument("COUNT"), fallback(160), display_fallback)]
    targets: usize,
    /// Availability zones
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    zones: usize,
    /// First seed
    #[bpaf(argument("SEED"), fallback(2_026), display_fallback)]
    seed: u64,
    /// Only rows whose names contain this
    #[bpaf(argument("TEXT"), optional)]
    only: Option<String>,
    /// Print a row for each kind of job instead
    by_kind: bool,
    /// Write a plot of each day's windows as SVG to this folder
    #[bpaf(argument("FOLDER"), optional)]
    svg: Option<PathBuf>,
}

/// Traffic of a calm day relative to a full one's.
const CALM_LOAD: f64 = 0.63;

#[derive(Clone, Copy, Debug)]
enum Policy {
    Central,
    LeastExpectedFinish,
    LeastOutstanding,
    TwoChoices,
}

const POLICIES: [Policy; 4] = [
    Policy::Central,
    Policy::LeastExpectedFinish,
    Policy::LeastOutstanding,
    Policy::TwoChoices,
];

impl Policy {
    fn run_once(self, run: LargeRun) -> LargeResult {
        let timing = Timing::SUB_SECOND;
        let random = |entry: usize| fastrand::Rng::with_seed(run.seed + entry as u64);
        match self {
            Self::Central => {
                let central = LargeRun {
                    entries: 1,
                    zones: 1,
                    cross_zone_ms: 0,
                    ..run
                };
                run_large(central, timing, |entry| {
                    LeastExpectedFinish::with_seed(entry as u64)
                })
            }
            Self::LeastExpectedFinish => run_large(run, timing, |entry| {
                LeastExpectedFinish::with_seed(entry as u64)
            }),
            Self::LeastOutstanding => run_large(run, timing, |_| LeastOutstanding),
            Self::TwoChoices => run_large(run, timing, |entry| TwoChoices(random(entry))),
        }
    }
}

/// Traffic of days with lost targets, near capacity and over capacity, relative to
/// a full day's, which leaves a third of the targets' capacity free.
const LOST_TARGETS_LOAD: f64 = 1.2;
const NEAR_CAPACITY_LOAD: f64 = 1.3;
const OVERLOAD: f64 = 1.6;

fn scenarios(base: LargeRun) -> [(&'static str, LargeRun); 7] {
    let burst = Burst {
        at_ms: base.length_ms / 3,
        length_ms: 4_000,
        factor: 1.8,
    };
    [
        ("calm", base),
        ("full", LargeRun { load: 1.0, ..base }),
        (
            "burst",
            LargeRun {
                load: 1.0,
                burst: Some(burst),
                ..base
            },
        ),
        (
            "straggler",
            LargeRun {
                straggler_factor: Some(8),
                ..base
            },
        ),
        (
            "lost",
            LargeRun {
                load: LOST_TARGETS_LOAD,
                lost_divisor: Some(11),
                ..base
            },
        ),
        (
            "near",
            LargeRun {
                load: NEAR_CAPACITY_LOAD,
                ..base
            },
        ),
        (
            "over",
            LargeRun {
                load: OVERLOAD,
                ..base
            },
        ),
    ]
}

const COLUMNS: &str = "day,policy,entries,targets,jobs,earned,first_window,worst_window,p50,p99,\
starts,handed_back,cross_zone,packets,refused,slowest_refusal_ms,failed,unanswered";

fn csv(day: &str, policy: Policy, run: &LargeRun, result: &LargeResult) -> String {
    format!(
        "{day},{policy:?},{},{},{},{:.3},{:.3},{:.3},{:.2},{:.2},{},{},{},{},{},{},{},{}",
        run.entries,
        run.targets,
        result.jobs,
        result.earned,
        result.windows.first().copied().unwrap_or(1.0),
        result.worst_window(),
        result.ratio(0.5),
        result.ratio(0.99),
        result.starts,
        result.returned_unstarted,
        result.cross_zone_starts,
        result.packets,
        result.refused,
        result.slowest_refusal_ms,
        result.failed,
        result.unanswered,
    )
}

const KIND_COLUMNS: &str = "day,policy,seed,kind,jobs,in_time,late,refused,p50_ms,p99_ms";

fn kind_csv(day: &str, policy: Policy, run: &LargeRun, kind: &KindResult) -> String {
    format!(
        "{day},{policy:?},{},{},{},{},{},{},{},{}",
        run.seed,
        kind.queue,
        kind.jobs,
        kind.in_time,
        kind.late,
        kind.refused,
        kind.taken_ms.value_at_quantile(0.5),
        kind.taken_ms.value_at_quantile(0.99),
    )
}

/// Plots the share earned in each window, one line per policy.
fn plot(
    day: &str,
    lines: &[(Policy, LargeResult)],
    folder: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let path = folder.join(format!("large-{day}.svg"));
    let area = SVGBackend::new(&path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let windows = lines.iter().map(|(_, result)| result.windows.len()).max();
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{day}: share earned in windows of two seconds"),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..windows.unwrap_or(1), 0.0..1.0)?;
    chart.configure_mesh().draw()?;
    for (position, (policy, result)) in lines.iter().enumerate() {
        let color = Palette99::pick(position).to_rgba();
        let points = result.windows.iter().copied().enumerate();
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(format!("{policy:?}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn main() -> ExitCode {
    let options = options().run();
    let base = LargeRun {
        entries: options.entries,
        targets: options.targets,
        zones: options.zones,
        load: CALM_LOAD,
        burst: None,
        straggler_factor: None,
        lost_divisor: None,
        cross_zone_ms: 1,
        length_ms: options.seconds * 1_000,
        seed: options.seed,
    };
    println!(
        "{}",
        if options.by_kind {
            KIND_COLUMNS
        } else {
            COLUMNS
        }
    );
    for (day, run) in scenarios(base) {
        let mut lines = Vec::new();
        for policy in POLICIES {
            let name = format!("{day} {policy:?}");
            if !options
                .only
                .as_deref()
                .is_none_or(|only| name.contains(only))
            {
                continue;
            }
            eprintln!("running {name}");
            let result = policy.run_once(run);
            if options.by_kind {
                for kind in &result.kinds {
                    println!("{}", kind_csv(day, policy, &run, kind));
                }
            } else {
                println!("{}", csv(day, policy, &run, &result));
            }
            lines.push((policy, result));
        }
        if let Some(folder) = &options.svg
            && !lines.is_empty()
            && let Err(error) = plot(day, &lines, folder)
        {
            eprintln!("could not write the plot of {day}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
