import { describe, expect, it } from "vitest";
import { FleetSize } from "./fleet_size.js";

const HOUR_MS = 3_600_000;

describe("FleetSize", () => {
  it("is unknown until another router is seen", () => {
    const size = new FleetSize();
    size.observe(0, 1);
    expect(size.isKnown).toBe(false);
    size.observe(400, 4);
    expect(size.isKnown).toBe(true);
    expect(size.routers).toBe(4);
  });

  // Guards against a router that takes the share of routers it was cut off from.
  it("does not shrink while routers are cut off for an hour", () => {
    const size = new FleetSize();
    size.observe(0, 4);
    for (let nowMs = 400; nowMs <= HOUR_MS; nowMs += 400) {
      size.observe(nowMs, 1);
    }
    expect(size.routers).toBe(4);
  });

  it("follows a fleet that became smaller", () => {
    const size = new FleetSize();
    size.observe(0, 25);
    for (let nowMs = 400; nowMs <= 2 * HOUR_MS; nowMs += 400) {
      size.observe(nowMs, 4);
    }
    expect(size.routers).toBe(4);
  });
});
