export * from "./admin_api.js";
export * from "./admin_error.js";
export * from "./admin_log.js";
export * from "./admin_routes.js";
export * from "./admin_services.js";
