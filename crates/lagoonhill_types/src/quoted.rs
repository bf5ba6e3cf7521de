use std::fmt::{self, Write as _};

/// Displays a value of a log line in quotes and on one line, so that it may contain
/// spaces.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        write!(EscapingWriter(f), "{}", self.0)?;
        f.write_char('"')
    }
}

/// Writer that escapes quotes, backslashes and line breaks.
struct EscapingWriter<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl fmt::Write for EscapingWriter<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for character in text.chars() {
            match character {
                '"' => self.0.write_str("\\\"")?,
                '\\' => self.0.write_str("\\\\")?,
                '\n' => self.0.write_str("\\n")?,
                other => self.0.write_char(other)?,
            }
        }
        Ok(())
    }
}
