//! Errors of the HTTP layer with their causes.

use std::error::Error;
use std::io;
use std::iter::successors;

/// Text of an error and of all errors that caused it.
pub fn error_chain(error: &(dyn Error + 'static)) -> String {
    let texts: Vec<_> = chain(error).map(ToString::to_string).collect();
    texts.join(": ")
}

/// Whether an error was caused by an I/O error that holds one of type `E`.
pub(super) fn is_caused_by<E>(error: &(dyn Error + 'static)) -> bool
where
    E: Error + 'static,
{
    let io_errors = chain(error).filter_map(|error| error.downcast_ref::<io::Error>());
    io_errors.filter_map(io::Error::get_ref).any(|inner| inner.is::<E>())
}

/// An error, and one after the other the errors that caused it.
fn chain<'a>(error: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    successors(Some(error), |error: &&'a (dyn Error + 'static)| (*error).source())
}
