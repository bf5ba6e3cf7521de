use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::ByteCount;

/// Thousandths of a processor.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MilliProcessors(pub u32);

impl fmt::Display for MilliProcessors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

/// Resources that a task needs, or that a target has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths.
    pub processors: MilliProcessors,
    /// Memory, in bytes.
    pub memory_bytes: ByteCount,
    /// Number of accelerators.
    pub accelerators: u16,
}

impl Resources {
    /// Whether no resource exceeds `available`.
    pub fn fits_in(self, available: Self) -> bool {
        self.processors <= available.processors
            && self.memory_bytes <= available.memory_bytes
            && self.accelerators <= available.accelerators
    }

    /// The larger value of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            processors: self.processors.max(other.processors),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        let processors = self.processors.0.saturating_add(other.processors.0);
        Self {
            processors: MilliProcessors(processors),
            memory_bytes: ByteCount(self.memory_bytes.0.saturating_add(other.memory_bytes.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Sub for Resources {
    type Output = Self;

    /// Subtracts each resource, saturating at zero.
    fn sub(self, other: Self) -> Self {
        let processors = self.processors.0.saturating_sub(other.processors.0);
        Self {
            processors: MilliProcessors(processors),
            memory_bytes: ByteCount(self.memory_bytes.0.saturating_sub(other.memory_bytes.0)),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "processors {}, memory {}, accelerators {}",
            self.processors, self.memory_bytes, self.accelerators
        )
    }
}
