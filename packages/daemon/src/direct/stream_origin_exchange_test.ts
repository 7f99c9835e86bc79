import type { DirectEvent, Message, StreamOrigin } from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { StreamOriginExchange } from "./stream_origin_exchange.js";

const V1: StreamOrigin = { service: "pool", softwareVersion: "v1" };
const FLEET = Array.from({ length: 28 }, (_, i) => `edge-${i + 1}`);

interface SentMessage {
  readonly nodeId: string;
  readonly message: Message;
}

describe("StreamOriginExchange", () => {
  let clock: ManualClock;
  let connectedIds: string[];
  let sent: SentMessage[];
  let events: DirectEvent[];
  let exchange: StreamOriginExchange;

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock();
    connectedIds = [...FLEET];
    sent = [];
    events = [];
    exchange = new StreamOriginExchange({
      clock,
      connectedIds: () => connectedIds,
      sendTo: (nodeId, message) => sent.push({ nodeId, message }),
      isFleetConnected: () => true,
      push: (event) => events.push(event),
      originOf: (callId) => callId === "known" ? V1 : undefined,
    });
  });

  afterEach(() => {
    exchange.dispose();
    vi.useRealTimers();
  });

  const receivers = () => sent.map(({ nodeId }) => nodeId);

  function announce(callId: string): void {
    exchange.announce(callId, V1);
    vi.advanceTimersByTime(10);
  }

  function unknown(nodeId: string, callId: string): void {
    exchange.handleOrigins(nodeId, {
      type: "fleet_streams",
      origins: [],
      unknownIds: [callId],
    });
  }

  const answers = () =>
    events.filter(({ type }) => type === "stream_origin_answered");

  // Guards against messages that grow with the size of the fleet.
  it("tells three routers about a stream, whatever the fleet's size", () => {
    announce("a");
    expect(receivers()).toHaveLength(3);
  });

  // Guards against asking routers that were not told.
  it("asks the routers that were told, also when some have left", () => {
    announce("a");
    const told = receivers();
    connectedIds = connectedIds.filter((id) => id !== told[0]);
    sent = [];
    exchange.find(1, "a");
    expect(receivers()).toHaveLength(5);
    expect(receivers()).toEqual(expect.arrayContaining(told.slice(1)));
  });

  it("answers with the first origin that arrives", () => {
    exchange.find(1, "a");
    exchange.find(2, "a");
    unknown(sent[0]!.nodeId, "a");
    exchange.handleOrigins(sent[1]!.nodeId, {
      type: "fleet_streams",
      origins: [{ callId: "a", ...V1 }],
    });
    expect(answers()).toEqual([
      expect.objectContaining({ key: 1, origin: V1 }),
      expect.objectContaining({ key: 2, origin: V1 }),
    ]);
  });

  // Guards against a caller that waits although no answer can come any more.
  it("answers when no router that was asked knows the stream or is left", () => {
    exchange.find(1, "a");
    const [first, ...others] = receivers();
    others.forEach((nodeId) => unknown(nodeId, "a"));
    expect(answers()).toEqual([]);
    exchange.handleDisconnect(first!);
    expect(answers()).toEqual([
      expect.objectContaining({ key: 1, origin: undefined }),
    ]);
  });

  // Guards against refusing streams because all connections were reset at once.
  it("asks a router that connects while the question is open", () => {
    connectedIds = [];
    exchange.find(1, "a");
    expect(sent).toEqual([]);
    exchange.handleConnect("edge-7");
    expect(sent).toEqual([{
      nodeId: "edge-7",
      message: { type: "fleet_stream_query", callId: "a" },
    }]);
  });

  // Guards against announcements that were lost with a connection.
  it("repeats recent announcements to a router that connects again", () => {
    connectedIds = ["edge-1"];
    announce("old");
    clock.timeMs += 6000;
    announce("new");
    sent = [];
    exchange.handleConnect("edge-1");
    expect(sent).toEqual([{
      nodeId: "edge-1",
      message: {
        type: "fleet_streams",
        origins: [{ callId: "new", ...V1 }],
      },
    }]);
  });

  it("tells a router that asks whether it knows a stream", () => {
    exchange.answerQuery("edge-2", {
      type: "fleet_stream_query",
      callId: "known",
    });
    exchange.answerQuery("edge-2", {
      type: "fleet_stream_query",
      callId: "other",
    });
    expect(sent.map(({ message }) => message)).toEqual([
      { type: "fleet_streams", origins: [{ callId: "known", ...V1 }] },
      { type: "fleet_streams", origins: [], unknownIds: ["other"] },
    ]);
  });
});
