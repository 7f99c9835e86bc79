import { describe, expect, it } from "vitest";
import { EndpointDirectory } from "./endpoint_directory.js";
import type { EndpointRecord } from "./routing_config.js";

const RECORD: EndpointRecord = {
  id: "e1",
  service: "pool",
  address: "10.0.0.1:80",
  failureDomain: "a",
  state: "ready",
  incarnation: 1,
};

function add(directory: EndpointDirectory, fields = {}, lapsedRetentionMs = 0) {
  return directory.apply(
    { upserts: [{ ...RECORD, ...fields }], removedIds: [], isSnapshot: false },
    0,
    lapsedRetentionMs,
  );
}

describe("EndpointDirectory", () => {
  it("removes an entry at once while the directory is reliable", () => {
    const directory = new EndpointDirectory();
    add(directory);
    directory.apply(
      { upserts: [], removedIds: ["e1"], isSnapshot: false },
      0,
      0,
    );
    expect(directory.get("e1")).toBeUndefined();
  });

  it("keeps an entry that an outage removed until its retention ends", () => {
    const directory = new EndpointDirectory();
    add(directory);
    directory.apply(
      { upserts: [], removedIds: [], isSnapshot: true },
      100,
      1800,
    );
    expect(directory.get("e1")?.lapsedUntilMs).toBe(1900);
    expect(directory.removeLapsed(1899)).toEqual([]);
    expect(directory.removeLapsed(1900)).toMatchObject([{ change: "removed" }]);
    expect(directory.get("e1")).toBeUndefined();
  });

  it("restores a lapsed entry that is listed again in time", () => {
    const directory = new EndpointDirectory();
    add(directory);
    directory.apply(
      { upserts: [], removedIds: ["e1"], isSnapshot: false },
      0,
      1800,
    );
    add(directory);
    expect(directory.get("e1")?.lapsedUntilMs).toBeUndefined();
    expect(directory.removeLapsed(5000)).toEqual([]);
  });

  it("removes a draining endpoint at once, even during an outage", () => {
    const directory = new EndpointDirectory();
    add(directory, { state: "draining" });
    directory.apply(
      { upserts: [], removedIds: ["e1"], isSnapshot: false },
      0,
      1800,
    );
    expect(directory.get("e1")).toBeUndefined();
  });

  it("resets the state of an endpoint that restarted under its id", () => {
    const directory = new EndpointDirectory();
    add(directory);
    const before = directory.get("e1")!;
    before.markSuspected(0);
    expect(add(directory, { incarnation: 2 })).toMatchObject([
      { change: "restarted" },
    ]);
    expect(directory.get("e1")).not.toBe(before);
    expect(directory.get("e1")?.isSuspected(0)).toBe(false);
  });

  it("ignores a late entry of an older incarnation", () => {
    const directory = new EndpointDirectory();
    add(directory, { incarnation: 2 });
    add(directory, { incarnation: 1, address: "10.0.0.9:80" });
    expect(directory.get("e1")?.record.address).toBe("10.0.0.1:80");
  });
});
