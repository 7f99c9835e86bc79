export * from "./byte_parts.js";
export * from "./frame_codec.js";
export * from "./messages.js";
export * from "./wire_error.js";
