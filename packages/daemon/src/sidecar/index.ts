export * from "./sidecar_host.js";
