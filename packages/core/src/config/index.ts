export * from "./bundle_check.js";
export * from "./bundle_diff.js";
export * from "./bundle_schema.js";
export * from "./config_error.js";
export * from "./config_objects.js";
export * from "./config_sections.js";
export * from "./schema_issues.js";
export * from "./settings_schema.js";
