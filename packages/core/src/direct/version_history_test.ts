import { describe, expect, it } from "vitest";
import type { EndpointRecord } from "./routing_config.js";
import { VersionHistory } from "./version_history.js";

function records(...versions: (string | undefined)[]): EndpointRecord[] {
  return versions.map((softwareVersion, i) => ({
    id: `e${i}`,
    service: "pool",
    address: "10.0.0.1:80",
    failureDomain: "a",
    state: "ready",
    incarnation: 1,
    softwareVersion,
  }));
}

describe("VersionHistory", () => {
  // Guards against streams of a version that has just left, taken for streams of
  // the one that is left.
  it("keeps a version that has left for a minute", () => {
    const history = new VersionHistory();
    history.update(0, records("v1", "v2"));
    history.update(1000, records("v2"));
    expect(history.servedOfLate("pool", 60_999)).toEqual(["v1", "v2"]);
    expect(history.servedOfLate("pool", 61_000)).toEqual(["v2"]);
  });

  // Guards against a version that counts as gone since it first left.
  it("counts from the last time that a version served", () => {
    const history = new VersionHistory();
    history.update(0, records("v1", "v2"));
    history.update(1000, records("v2"));
    history.update(30_000, records("v1", "v2"));
    history.update(40_000, records("v2"));
    expect(history.servedOfLate("pool", 99_000)).toEqual(["v1", "v2"]);
    expect(history.servedOfLate("pool", 100_000)).toEqual(["v2"]);
  });

  // Guards against records that are written long after a release.
  it("counts a version that has left as one of several for a short time", () => {
    const history = new VersionHistory();
    history.update(0, records("v1", "v2"));
    history.update(1000, records("v2"));
    expect(history.hasSeveral("pool", 20_999)).toBe(true);
    expect(history.hasSeveral("pool", 21_000)).toBe(false);
  });

  // Guards against a process that forgets what its predecessors knew.
  it("adds versions that the store names", () => {
    const history = new VersionHistory();
    history.update(0, records("v2"));
    history.recordServed(500, [{ service: "pool", versions: ["v1", "v2"] }]);
    expect(history.all(600)).toEqual([
      { service: "pool", versions: ["v1", "v2"] },
    ]);
    history.update(700, records("v2"));
    expect(history.all(60_500)).toEqual([
      { service: "pool", versions: ["v2"] },
    ]);
  });

  // Guards against entries without a version that count as no version.
  it("tells entries without a version from others", () => {
    const history = new VersionHistory();
    history.update(0, records(undefined, "v1"));
    expect(history.hasSeveral("pool", 0)).toBe(true);
    expect(history.hasSeveral("app", 0)).toBe(false);
  });
});
