use std::fmt::{self, Write as _};

/// A text of several words as a value in a log line: in quotes, on one line.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        write!(Escaping(f), "{}", self.0)?;
        f.write_char('"')
    }
}

/// Passes a text on with what would end the value or the line escaped.
struct Escaping<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl fmt::Write for Escaping<'_, '_> {
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
