export * from "./order_error.js";
export * from "./order_issuer.js";
