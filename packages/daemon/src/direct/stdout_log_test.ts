import { EventEmitter } from "node:events";
import { describe, expect, it } from "vitest";
import { StdoutLog } from "./stdout_log.js";

class Sink extends EventEmitter {
  writableLength = 0;
  readonly lines: Record<string, unknown>[] = [];

  write(text: string): void {
    this.lines.push(JSON.parse(text));
  }
}

describe("StdoutLog", () => {
  it("bounds the lines of a second and tells how many were left out", () => {
    const sink = new Sink();
    let wallMs = 5000;
    const log = new StdoutLog("n", sink, () => new Date(wallMs));
    for (let i = 0; i < 1000; i++) {
      log.log("direct_request_finished", { request_id: String(i) });
    }
    expect(sink.lines.length).toBe(400);
    wallMs += 1000;
    log.log("direct_request_finished");
    expect(sink.lines[400]).toMatchObject({
      name: "log_lines_dropped",
      lines: 600,
    });
  });

  it("leaves lines out instead of queueing them for a reader that stalls", () => {
    const sink = new Sink();
    sink.writableLength = 10 * 1024 * 1024;
    const log = new StdoutLog("n", sink);
    log.log("store_lost");
    expect(sink.lines).toEqual([]);
    expect(log.droppedLines).toBe(1);
  });

  it("cuts texts that a caller can make as long as its headers", () => {
    const sink = new Sink();
    const log = new StdoutLog("n", sink);
    log.log("direct_call_rejected", { request_id: "x".repeat(100_000) });
    expect(String(sink.lines[0]!["request_id"]).length).toBe(303);
  });

  it("survives the end of its reader", () => {
    // Without a listener, the error of a closed pipe ends the process.
    const sink = new Sink();
    const log = new StdoutLog("n", sink);
    sink.emit("error", new Error("write EPIPE"));
    log.log("direct_request_finished");
    expect(sink.lines).toEqual([]);
    expect(log.droppedLines).toBe(1);
  });

  it("goes on after the time of day jumped back", () => {
    const sink = new Sink();
    let wallMs = 1_000_000;
    const log = new StdoutLog("n", sink, () => new Date(wallMs));
    for (let i = 0; i < 500; i++) {
      log.log("direct_request_finished");
    }
    wallMs = 10;
    log.log("direct_request_finished");
    expect(sink.lines.at(-1)).toMatchObject({
      name: "direct_request_finished",
    });
  });
});
