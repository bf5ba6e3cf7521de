//! Compares placement policies, and measures the effect of faults on the one in
//! use, in the deterministic simulation. Prints CSV; seeds are fixed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use lagoonhill_bench::{
    Fault, LeastOutstanding, LeastWeightedLoad, PolicyResult, PolicyRun, Random, RoundRobin,
    Scenario, TwoChoices, run_policy,
};
use lagoonhill_core::entry::LeastExpectedFinish;
use plotters::prelude::*;

/// Compares placement policies.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Seeds of each row
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    seeds: u64,
    /// Length of the arrivals in seconds
    #[bpaf(argument("SECONDS"), fallback(120), display_fallback)]
    seconds: u64,
    /// Write a plot of each table as SVG to this folder
    #[bpaf(argument("FOLDER"), optional)]
    svg: Option<PathBuf>,
    /// Only this table: candidates, look-ahead, load, classes or faults
    #[bpaf(argument("TABLE"), optional)]
    table: Option<String>,
}

const FIRST_SEED: u64 = 2_026;
const NORMAL_LOAD: f64 = 0.77;

/// One row of a table.
struct Row {
    table: &'static str,
    name: String,
    run: PolicyRun,
    result: PolicyResult,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    Random,
    RoundRobin,
    TwoChoices,
    LeastOutstanding,
    LeastExpectedFinish,
    LeastWeightedLoad,
}

impl Policy {
    const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::LeastOutstanding,
        Self::LeastExpectedFinish,
        Self::LeastWeightedLoad,
    ];

    fn run(self, run: PolicyRun, seeds: u64) -> PolicyResult {
        let random = |entry: usize| fastrand::Rng::with_seed(run.seed + entry as u64);
        match self {
            Self::Random => run_policy(run, seeds, |entry| Random(random(entry))),
            Self::RoundRobin => run_policy(run, seeds, |_| RoundRobin::default()),
            Self::TwoChoices => run_policy(run, seeds, |entry| TwoChoices(random(entry))),
            Self::LeastOutstanding => run_policy(run, seeds, |_| LeastOutstanding),
            Self::LeastExpectedFinish => run_policy(run, seeds, |entry| {
                LeastExpectedFinish::with_seed(entry as u64)
            }),
            Self::LeastWeightedLoad => run_policy(run, seeds, |_| LeastWeightedLoad),
        }
    }
}

/// Runs and adds the rows of one table.
type AddRows = fn(&mut Bench);

struct Bench {
    seeds: u64,
    base: PolicyRun,
    rows: Vec<Row>,
}

impl Bench {
    fn add(&mut self, table: &'static str, name: &str, policy: Policy, run: PolicyRun) {
        let result = policy.run(run, self.seeds);
        let row = Row {
            table,
            name: name.to_owned(),
            run,
            result,
        };
        println!("{}", csv(&row));
        self.rows.push(row);
    }

    /// A central queue: one entry, no network delay, no look-ahead.
    fn central(&self) -> PolicyRun {
        PolicyRun {
            entries: 1,
            delay_ms: 0,
            look_ahead: 0,
            ..self.base
        }
    }

    fn candidates(&mut self) {
        let base = self.base;
        for policy in Policy::ALL {
            let name = format!("central queue, {policy:?}");
            self.add("candidates", &name, policy, self.central());
        }
        for entries in [1, 3, 6] {
            for policy in Policy::ALL {
                let run = PolicyRun { entries, ..base };
                self.add("candidates", &format!("{policy:?}"), policy, run);
            }
        }
    }

    fn look_ahead(&mut self) {
        for look_ahead in [0, 1, 2, 4] {
            let run = PolicyRun {
                look_ahead,
                ..self.base
            };
            let name = format!("look-ahead {look_ahead}");
            self.add("look-ahead", &name, Policy::LeastExpectedFinish, run);
        }
    }

    fn load(&mut self) {
        for utilization in [0.5, 0.77, 0.9] {
            let name = format!("{:.0}%", utilization * 100.0);
            let run = PolicyRun {
                utilization,
                ..self.base
            };
            self.add("load", &name, Policy::LeastExpectedFinish, run);
            let central = PolicyRun {
                utilization,
                ..self.central()
            };
            let name = format!("{name}, central queue");
            self.add("load", &name, Policy::LeastExpectedFinish, central);
        }
        let flood = PolicyRun {
            scenario: Scenario::Flood,
            utilization: 0.5,
            ..self.base
        };
        self.add(
            "load",
            "flood of ten times for 10 s",
            Policy::LeastExpectedFinish,
            flood,
        );
    }

    fn classes(&mut self) {
        let alone = PolicyRun {
            scenario: Scenario::RushAlone,
            ..self.base
        };
        self.add("classes", "rush alone", Policy::LeastExpectedFinish, alone);
        let over = PolicyRun {
            scenario: Scenario::RushOverOffice,
            utilization: 0.6,
            ..self.base
        };
        self.add(
            "classes",
            "rush over office work",
            Policy::LeastExpectedFinish,
            over,
        );
    }

    fn faults(&mut self) {
        let faults = [
            Fault::None,
            Fault::Straggler,
            Fault::BlackHole,
            Fault::WorkerDies,
            Fault::EntryDies,
            Fault::CancelWave,
            Fault::DeclaredTooLong,
            Fault::DeclaredTooShort,
        ];
        for fault in faults {
            let run = PolicyRun { fault, ..self.base };
            self.add(
                "faults",
                &format!("{fault:?}"),
                Policy::LeastExpectedFinish,
                run,
            );
        }
        for fault in [Fault::Straggler, Fault::BlackHole] {
            let run = PolicyRun { fault, ..self.base };
            let name = format!("{fault:?}, least outstanding");
            self.add("faults", &name, Policy::LeastOutstanding, run);
        }
    }
}

const COLUMNS: &str = "table,name,entries,look_ahead,utilization,jobs,p50,p99,rush_p50,rush_p99,\
packets_per_task,wasted_per_task,refused,failed,failed_later,jobs_later,unanswered";

fn csv(row: &Row) -> String {
    let Row {
        table,
        name,
        run,
        result,
    } = row;
    format!(
        "{table},\"{name}\",{},{},{},{},{:.2},{:.2},{:.2},{:.2},{:.3},{:.4},{},{},{},{},{}",
        run.entries,
        run.look_ahead,
        run.utilization,
        result.jobs,
        result.ratio(0.5),
        result.ratio(0.99),
        result.rush_ratio(0.5),
        result.rush_ratio(0.99),
        result.packets_per_task(),
        result.wasted_per_task(),
        result.refused,
        result.failed,
        result.failed_after_fault,
        result.jobs_after_fault,
        result.unanswered,
    )
}

/// Plots the 99th percentile of each row of a table as bars.
fn plot(rows: &[Row], table: &str, folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<&Row> = rows.iter().filter(|row| row.table == table).collect();
    if rows.is_empty() {
        return Ok(());
    }
    let highest = rows
        .iter()
        .map(|row| row.result.ratio(0.99))
        .fold(1.0, f64::max);
    let path = folder.join(format!("{table}.svg"));
    let height = 120 + 26 * u32::try_from(rows.len())?;
    let area = SVGBackend::new(&path, (900, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let label = |row: &Row| format!("{} ({} entries)", row.name, row.run.entries);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{table}: p99 of response time / ideal"),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(330)
        .build_cartesian_2d(0.0..highest * 1.05, (0..rows.len()).into_segmented())?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows.len())
        .y_label_formatter(&|position| match position {
            SegmentValue::CenterOf(index) => rows.get(*index).map_or(String::new(), |r| label(r)),
            _ => String::new(),
        })
        .draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let from = (0.0, SegmentValue::Exact(index));
        let until = (row.result.ratio(0.99), SegmentValue::Exact(index + 1));
        let mut bar = Rectangle::new([from, until], BLUE.mix(0.6).filled());
        bar.set_margin(4, 4, 0, 0);
        bar
    }))?;
    area.present()?;
    Ok(())
}

fn main() -> ExitCode {
    let options = options().run();
    let base = PolicyRun {
        entries: 3,
        look_ahead: 1,
        delay_ms: 1,
        utilization: NORMAL_LOAD,
        scenario: Scenario::Steady,
        fault: Fault::None,
        length_ms: options.seconds * 1_000,
        seed: FIRST_SEED,
    };
    let mut bench = Bench {
        seeds: options.seeds,
        base,
        rows: Vec::new(),
    };
    let wanted = |table: &str| options.table.as_deref().is_none_or(|only| only == table);
    println!("{COLUMNS}");
    let tables: [(&str, AddRows); 5] = [
        ("candidates", Bench::candidates),
        ("look-ahead", Bench::look_ahead),
        ("load", Bench::load),
        ("classes", Bench::classes),
        ("faults", Bench::faults),
    ];
    for (table, add_rows) in tables {
        if !wanted(table) {
            continue;
        }
        add_rows(&mut bench);
        if let Some(folder) = &options.svg
            && let Err(error) = plot(&bench.rows, table, folder)
        {
            eprintln!("could not write the plot of {table}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
