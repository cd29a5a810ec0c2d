//! The choice of a pipeline for each request.
//!
//! An entry keeps the work that it has itself in flight at every engine and
//! sends a request along the path through the model's layers that adds the
//! least expected time. Reports of load and of caches lag, so they only
//! correct that figure and never replace it.

mod chooser;
mod fleet;
mod prefixes;
mod refusals;
mod speed;

mod view;

pub use self::chooser::ChooserSettings;
pub use self::chooser::PipelineChooser;
pub use self::view::CacheHint;
pub use self::view::ChoiceRequest;
pub use self::view::EngineState;
pub use self::view::EngineView;
pub use self::view::LinkView;
pub use self::view::NoPipeline;
pub use self::view::ReportedLoad;
pub use self::view::StepSample;
