export * from "./choose_copy.js";
export * from "./resume_from_copy.js";
export * from "./held_copies.js";
export * from "./recent_crashes.js";
export * from "./run_copy.js";
export * from "./start_copy.js";
