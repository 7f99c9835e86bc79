import { describe, expect, it } from "vitest";
import { StreamOrigins } from "./stream_origins.js";

const V1 = { service: "pool", softwareVersion: "v1" };
const V2 = { service: "pool", softwareVersion: "v2" };

describe("StreamOrigins", () => {
  it("keeps the first origin of a stream for at least a minute", () => {
    const origins = new StreamOrigins();
    origins.record(59_000, "a", V1);
    origins.record(59_500, "a", V2);
    origins.record(118_000, "b", V2);
    expect(origins.get("a")).toEqual(V1);
  });

  it("forgets streams after two minutes", () => {
    const origins = new StreamOrigins();
    origins.record(0, "a", V1);
    origins.record(60_000, "b", V1);
    origins.record(120_000, "c", V1);
    expect(origins.get("a")).toBeUndefined();
    expect(origins.get("b")).toEqual(V1);
  });

  it("tells whether other versions of a service began streams", () => {
    const origins = new StreamOrigins();
    origins.record(0, "a", V1);
    origins.record(0, "b", { service: "app", softwareVersion: "v2" });
    expect(origins.hasOtherVersion(V1)).toBe(false);
    expect(origins.hasOtherVersion(V2)).toBe(true);
  });
});
