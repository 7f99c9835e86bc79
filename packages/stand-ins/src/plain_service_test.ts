import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PlainService } from "./plain_service.js";

let service: PlainService;

beforeEach(async () => {
  service = new PlainService();
  await service.start();
});
afterEach(() => service.dispose());

function publish(id: string): Promise<Response> {
  return fetch(`${service.url}/pages/1?draft=0`, {
    method: "POST",
    headers: { "x-execution-id": id, "anvildeal-request": "r" },
    body: "text",
  });
}

describe("PlainService", () => {
  it("echoes the request as received, so that tests detect alterations", async () => {
    expect(await (await publish("e1")).json()).toMatchObject({
      method: "POST",
      path: "/pages/1?draft=0",
      headers: { "x-execution-id": "e1" },
      body: "text",
    });
  });

  it("counts each effect by the caller's execution id, and no reads", async () => {
    await publish("e1");
    await publish("e1");
    await fetch(`${service.url}/pages/1`, {
      headers: { "x-execution-id": "e2" },
    });
    const log = await (await fetch(`${service.url}/executions`)).json();
    expect(log).toMatchObject({ executions: [{ id: "e1", started: 2 }] });
  });

  it("fails before or after the effect, as configured", async () => {
    const fail = { next_requests: 1, kind: "reset" } as const;
    await service.setFaults({ fail: { ...fail, after_effect: false } });
    await expect(publish("before")).rejects.toThrow();
    await service.setFaults({ fail: { ...fail, after_effect: true } });
    await expect(publish("after")).rejects.toThrow();
    expect(service.executions.startedCount("before")).toBe(0);
    expect(service.executions.startedCount("after")).toBe(1);
    expect((await publish("later")).status).toBe(200);
  });
});
