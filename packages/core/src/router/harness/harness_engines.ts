import type { SidecarEvent } from "../../sidecar/index.js";
import type { SubmitMessage } from "../../wire/index.js";
import { type AnswerSpec, answerTexts, sseEvent } from "./harness_answer.js";
import type { HarnessInvariants } from "./harness_invariants.js";
import type { RunningCall, SidecarNode } from "./harness_nodes.js";
import type { WithoutTime } from "./harness_step.js";

export interface HarnessEnginesOptions {
  readonly invariants: HarnessInvariants;
  readonly dispatchToSidecar: (
    sidecar: SidecarNode,
    event: WithoutTime<SidecarEvent>,
  ) => void;
  /**
   * Runs a function after the current event and its effects have been
   * processed.
   */
  readonly defer: (run: () => void) => void;
}

/**
 * Simulated endpoints behind the sidecars. An answer consists of a head, chunks
 * and an end; in each round, an endpoint sends one of these parts per call.
 */
export class HarnessEngines {
  readonly #options: HarnessEnginesOptions;

  constructor(options: HarnessEnginesOptions) {
    this.#options = options;
  }

  /** Sends the next part of an answer to the sidecar, unless the call is paused. */
  sendNextPart(sidecar: SidecarNode, call: RunningCall): void {
    const { attemptId, chunks, submit } = call;
    if (call.paused) {
      return;
    }
    const index = call.nextPartIndex++;
    if (index === 0) {
      this.#options.dispatchToSidecar(sidecar, {
        type: "call_head",
        attemptId,
        status: 200,
        headers: submit.kind === "chat"
          ? { "content-type": "text/event-stream" }
          : {},
      });
    } else if (index <= chunks.length) {
      this.#options.dispatchToSidecar(sidecar, {
        type: "call_data",
        attemptId,
        data: chunks[index - 1],
        outputTokens: submit.kind === "chat" ? 1 : 0,
      });
    } else {
      sidecar.runningCalls.delete(attemptId);
      this.#options.dispatchToSidecar(sidecar, {
        type: "call_ended",
        attemptId,
      });
    }
  }

  /** Fails the oldest running call of a sidecar. */
  failOldestCall(sidecar: SidecarNode): void {
    const [call] = sidecar.runningCalls.values();
    if (call) {
      sidecar.runningCalls.delete(call.attemptId);
      this.#options.dispatchToSidecar(sidecar, {
        type: "call_failed",
        attemptId: call.attemptId,
        mayHaveRun: true,
        reason: "engine reset the connection",
      });
    }
  }

  /**
   * Starts a call, or refuses the connection if the engine does not accept calls.
   * The answer of a call with `resumeText` starts after the chunks in that text.
   */
  startCall(
    sidecar: SidecarNode,
    attemptId: string,
    submit: SubmitMessage,
  ): void {
    if (!sidecar.engineAcceptsCalls) {
      this.#options.defer(() =>
        this.#options.dispatchToSidecar(sidecar, {
          type: "call_failed",
          attemptId,
          mayHaveRun: false,
          reason: "connection refused",
        })
      );
      return;
    }
    this.#options.invariants.countExecution(submit);
    const texts = answerTexts(
      JSON.parse(new TextDecoder().decode(submit.body)) as AnswerSpec,
    );
    const resumeText = submit.resumeText ?? "";
    if (!texts.join("").startsWith(resumeText)) {
      this.#options.invariants.recordViolation(
        `${attemptId} continues from mismatched text ${resumeText}`,
      );
    }
    const resumeIndex = texts.findIndex((_, i) =>
      texts.slice(0, i).join("") === resumeText
    );
    const remainingTexts = resumeIndex === -1 ? [] : texts.slice(resumeIndex);
    sidecar.runningCalls.set(attemptId, {
      attemptId,
      submit,
      chunks: remainingTexts.map((text) =>
        new TextEncoder().encode(submit.kind === "chat" ? sseEvent(text) : text)
      ),
      nextPartIndex: 0,
      paused: false,
    });
  }
}
