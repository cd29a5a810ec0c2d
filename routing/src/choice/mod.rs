//! Selection of the pipeline for each request.
//!
//! An entry tracks its own work in flight at every engine and routes a request
//! along the path through the model's layers with the least expected cost. Cache
//! events and load reports arrive late, so they may adjust that estimate but never
//! replace it.

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
