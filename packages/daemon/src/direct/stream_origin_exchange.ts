import {
  type Clock,
  type DirectEvent,
  type Message,
  type MessageOf,
  type Millis,
  rankByRendezvous,
  type StreamOrigin,
  type StreamRecord,
} from "@anvildeal/core";
import type { Disposable } from "../net/index.js";

/**
 * Number of routers that are told which version began a stream. They are chosen
 * by rendezvous hashing of the call id, so that any router knows whom to ask.
 */
const KEEPER_COUNT = 3;

/**
 * Number of routers that are asked. More than are told, because routers know
 * somewhat different fleets after some have left or joined.
 */
const ASKED_COUNT = 5;

/** Delay for which announcements are collected into one message. */
const BATCH_DELAY_MS: Millis = 10;

/**
 * Announcements of the last time are repeated to a router that connects again,
 * because those on a connection that broke may be lost.
 */
const REPEAT_MS: Millis = 5000;

/** Question after which its answer is not expected any more. */
const QUESTION_TIMEOUT_MS: Millis = 1000;

type Announcement = MessageOf<"fleet_streams">["origins"][number];

interface Question {
  readonly askedMs: Millis;
  /** Requests that wait for the answer. */
  readonly keys: number[];
  /** Routers that were asked and have not answered. */
  readonly waitingFor: Set<string>;
}

export interface StreamOriginExchangeOptions {
  readonly clock: Clock;
  /** Ids of the routers that this one is connected to. */
  readonly connectedIds: () => readonly string[];
  readonly sendTo: (nodeId: string, message: Message) => void;
  /** Whether all known routers are connected, and none is ahead of this one. */
  readonly isFleetConnected: () => boolean;
  readonly push: (event: DirectEvent) => void;
  /** Origin that this router knows. */
  readonly originOf: (callId: string) => StreamOrigin | undefined;
}

/**
 * Tells a few routers which software version began each stream, and asks them
 * when a caller takes a stream up at this one.
 */
export class StreamOriginExchange implements Disposable {
  readonly #options: StreamOriginExchangeOptions;
  readonly #questions = new Map<string, Question>();
  #announced: { readonly atMs: Millis; readonly entry: Announcement }[] = [];
  #pending: Announcement[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StreamOriginExchangeOptions) {
    this.#options = options;
  }

  announce(callId: string, origin: StreamOrigin): void {
    const entry = { callId, ...origin };
    this.#pending.push(entry);
    this.#announced.push({ atMs: this.#options.clock.nowMs(), entry });
    this.#timer ??= setTimeout(() => this.#sendPending(), BATCH_DELAY_MS);
  }

  /** Asks for an origin; the answer is an event `stream_origin_answered`. */
  find(key: number, callId: string): void {
    this.#removeOldQuestions();
    const asked = this.#questions.get(callId);
    if (asked) {
      asked.keys.push(key);
      return;
    }
    const question: Question = {
      askedMs: this.#options.clock.nowMs(),
      keys: [key],
      waitingFor: new Set(),
    };
    this.#questions.set(callId, question);
    // Without a connected router the request waits: one may connect in time.
    for (const nodeId of this.#ranked(callId, ASKED_COUNT)) {
      this.#ask(nodeId, callId, question);
    }
  }

  /** Sends a router that connected what it may have missed. */
  handleConnect(nodeId: string): void {
    this.#removeOldAnnouncements();
    const origins = this.#announced
      .map(({ entry }) => entry)
      .filter(({ callId }) =>
        this.#ranked(callId, KEEPER_COUNT).includes(nodeId)
      );
    if (origins.length > 0) {
      this.#options.sendTo(nodeId, { type: "fleet_streams", origins });
    }
    this.#removeOldQuestions();
    for (const [callId, question] of this.#questions) {
      this.#ask(nodeId, callId, question);
    }
  }

  handleDisconnect(nodeId: string): void {
    for (const [callId, question] of this.#questions) {
      this.#endWait(nodeId, callId, question);
    }
  }

  answerQuery(
    nodeId: string,
    { callId }: MessageOf<"fleet_stream_query">,
  ): void {
    const origin = this.#options.originOf(callId);
    this.#options.sendTo(nodeId, {
      type: "fleet_streams",
      origins: origin ? [{ callId, ...origin }] : [],
      ...(origin ? {} : { unknownIds: [callId] }),
    });
  }

  handleOrigins(
    nodeId: string,
    { origins, unknownIds }: MessageOf<"fleet_streams">,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    this.#options.push({
      type: "stream_origins_received",
      nowMs,
      origins: origins.map(streamRecordOf),
    });
    for (const { callId, origin } of origins.map(streamRecordOf)) {
      this.#answer(callId, origin);
    }
    for (const callId of unknownIds ?? []) {
      const question = this.#questions.get(callId);
      if (question) {
        this.#endWait(nodeId, callId, question);
      }
    }
  }

  dispose(): void {
    clearTimeout(this.#timer);
  }

  #ask(nodeId: string, callId: string, question: Question): void {
    question.waitingFor.add(nodeId);
    this.#options.sendTo(nodeId, { type: "fleet_stream_query", callId });
  }

  #endWait(nodeId: string, callId: string, question: Question): void {
    if (question.waitingFor.delete(nodeId) && question.waitingFor.size === 0) {
      this.#answer(callId, undefined);
    }
  }

  #answer(callId: string, origin: StreamOrigin | undefined): void {
    const question = this.#questions.get(callId);
    this.#questions.delete(callId);
    for (const key of question?.keys ?? []) {
      this.#options.push({
        type: "stream_origin_answered",
        nowMs: this.#options.clock.nowMs(),
        key,
        origin,
        isFleetConnected: this.#options.isFleetConnected(),
      });
    }
  }

  #sendPending(): void {
    this.#timer = undefined;
    this.#removeOldAnnouncements();
    const originsByRouter = new Map<string, Announcement[]>();
    for (const entry of this.#pending) {
      for (const nodeId of this.#ranked(entry.callId, KEEPER_COUNT)) {
        const origins = originsByRouter.get(nodeId) ?? [];
        originsByRouter.set(nodeId, [...origins, entry]);
      }
    }
    this.#pending = [];
    for (const [nodeId, origins] of originsByRouter) {
      this.#options.sendTo(nodeId, { type: "fleet_streams", origins });
    }
  }

  #ranked(callId: string, count: number): string[] {
    return rankByRendezvous(callId, this.#options.connectedIds(), count);
  }

  #removeOldAnnouncements(): void {
    const sinceMs = this.#options.clock.nowMs() - REPEAT_MS;
    this.#announced = this.#announced.filter(({ atMs }) => atMs >= sinceMs);
  }

  #removeOldQuestions(): void {
    const sinceMs = this.#options.clock.nowMs() - QUESTION_TIMEOUT_MS;
    for (const [callId, { askedMs }] of this.#questions) {
      if (askedMs < sinceMs) {
        this.#questions.delete(callId);
      }
    }
  }
}

/** Returns the record of a stream that another router sent. */
export function streamRecordOf(
  { callId, isUncertain, service, softwareVersion }: Announcement,
): StreamRecord {
  return {
    callId,
    origin: {
      service,
      softwareVersion,
      ...(isUncertain ? { isUncertain } : {}),
    },
  };
}
