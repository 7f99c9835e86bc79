import type { SidecarEvent } from "../../sidecar/index.js";
import type { Message } from "../../wire/index.js";
import type { RouterEvent } from "../router_event.js";
import { elementAt } from "./element_at.js";
import type { HarnessInvariants } from "./harness_invariants.js";
import type { Link, RouterNode, SidecarNode } from "./harness_nodes.js";
import type { Direction, Step, WithoutTime } from "./harness_step.js";

export interface HarnessNetworkOptions {
  readonly invariants: HarnessInvariants;
  readonly nowMs: () => number;
  readonly dispatchToRouter: (
    router: RouterNode,
    event: WithoutTime<RouterEvent>,
  ) => void;
  readonly dispatchToSidecar: (
    sidecar: SidecarNode,
    event: WithoutTime<SidecarEvent>,
  ) => void;
  /** Runs the functions that were deferred while an event was processed. */
  readonly runDeferred: () => void;
}

/**
 * Connections between routers and sidecars as queues of frames in memory. A step
 * of a test decides when a frame is delivered.
 */
export class HarnessNetwork {
  readonly #options: HarnessNetworkOptions;
  /** Submit frames that sidecars have received. */
  readonly #receivedSubmits: {
    readonly router: RouterNode;
    readonly sidecar: SidecarNode;
    readonly incarnation: number;
    readonly message: Message;
  }[] = [];
  #links: Link[] = [];
  #nextConnectionNumber = 0;

  constructor(options: HarnessNetworkOptions) {
    this.#options = options;
  }

  /**
   * Whether each connection is established and no frame that a sidecar can
   * receive is in transit.
   */
  get isSettled(): boolean {
    return this.#links.every(({ frames, established, stalled }) =>
      established && (stalled.to_sidecar || frames.to_sidecar.length === 0)
    );
  }

  /** Calls a function with the connection of this index, if there is any. */
  withLink(index: number, run: (link: Link) => void): void {
    if (this.#links.length > 0) {
      run(elementAt(this.#links, index));
    }
  }

  /** Resets all connections of a sidecar after it was restarted. */
  resetLinksOf(sidecar: SidecarNode): void {
    this.#links.filter((link) => link.sidecar === sidecar)
      .forEach((link) => this.reset(link));
  }

  /** Stops the delivery of frames in one direction or both. */
  stall(
    { established, stalled }: Link,
    direction: Extract<Step, { type: "stall" }>["direction"],
  ): void {
    stalled.to_router ||= established && direction !== "to_sidecar";
    stalled.to_sidecar ||= established && direction !== "to_router";
  }

  /** Sends a frame to the router on an open connection of the sidecar. */
  sendToRouter(connectionId: string, message: Message): void {
    const link = this.#findLink(connectionId);
    if (link?.sidecarEndOpen) {
      link.frames.to_router.push(message);
    }
  }

  closeRouterEnd(router: RouterNode, endpointId: string): void {
    const link = this.#findOpenLink(router, endpointId);
    if (link) {
      link.routerEndOpen = false;
      this.#removeLinkIfClosed(link);
    }
  }

  closeSidecarEnd(connectionId: string): void {
    const link = this.#findLink(connectionId);
    if (link) {
      link.sidecarEndOpen = false;
      this.#removeLinkIfClosed(link);
    }
  }

  /** Sends a frame to a sidecar; opens a connection if there is none. */
  sendToSidecar(
    router: RouterNode,
    sidecar: SidecarNode,
    message: Message,
  ): void {
    const { id } = sidecar;
    if (
      message.type === "submit" &&
      router.drainingIncarnations.has(`${id}/${sidecar.incarnation}`)
    ) {
      this.#options.invariants.recordViolation(
        `${router.id} submitted to ${id}, which had reported that it drains`,
      );
    }
    let link = this.#findOpenLink(router, id);
    if (!link) {
      link = {
        connectionId: `c${this.#nextConnectionNumber++}`,
        router,
        sidecar,
        incarnation: sidecar.incarnation,
        established: false,
        routerEndOpen: true,
        sidecarEndOpen: false,
        unsent: [],
        frames: { to_sidecar: [], to_router: [] },
        stalled: { to_sidecar: false, to_router: false },
      };
      this.#links.push(link);
    }
    (link.established ? link.frames.to_sidecar : link.unsent).push(message);
  }

  /** Delivers all frames in transit, and the frames that are sent in reply. */
  deliverAll(): void {
    const MAX_ROUNDS = 20;
    let anyDelivered = true;
    for (let i = 0; i < MAX_ROUNDS && anyDelivered; i++) {
      anyDelivered = false;
      for (const link of [...this.#links]) {
        anyDelivered = this.deliverNext(link, "to_sidecar") || anyDelivered;
        anyDelivered = this.deliverNext(link, "to_router") || anyDelivered;
      }
    }
  }

  /** Queues a received submit frame or a frame in transit a second time. */
  duplicateFrame(
    { frames, incarnation, router, sidecar }: Link,
    { direction, frame }: Extract<Step, { type: "duplicate" }>,
  ): void {
    const candidateFrames = direction === "to_router"
      ? frames.to_router
      : this.#receivedSubmits.filter((submit) =>
        submit.router === router && submit.sidecar === sidecar &&
        submit.incarnation === incarnation
      ).map(({ message }) => message);
    if (candidateFrames.length > 0) {
      frames[direction].push(elementAt(candidateFrames, frame));
    }
  }

  /**
   * Delivers the next frame, or the close of the connection after the last one.
   * Returns false if there was nothing to deliver.
   */
  deliverNext(link: Link, direction: Direction): boolean {
    if (!link.established) {
      this.#connect(link);
      return true;
    }
    const receiverOpen = direction === "to_router"
      ? link.routerEndOpen
      : link.sidecarEndOpen;
    const senderOpen = direction === "to_router"
      ? link.sidecarEndOpen
      : link.routerEndOpen;
    const message = receiverOpen && !link.stalled[direction]
      ? link.frames[direction].shift()
      : undefined;
    if (!receiverOpen || link.stalled[direction] || (!message && senderOpen)) {
      return false;
    }
    if (!message) {
      // The sender has closed the connection and all frames are delivered.
      this.#closeEnd(link, direction);
    } else if (direction === "to_router") {
      this.#receiveAtRouter(link, message);
    } else {
      this.#receiveAtSidecar(link, message);
    }
    this.#options.runDeferred();
    return true;
  }

  /** Closes the connection at both ends and drops the frames in transit. */
  reset(link: Link): void {
    const {
      connectionId,
      router,
      sidecar,
      established,
      routerEndOpen,
      sidecarEndOpen,
    } = link;
    this.#links = this.#links.filter((other) => other !== link);
    const unsent = link.unsent.splice(0);
    link.routerEndOpen = false;
    link.sidecarEndOpen = false;
    if (sidecarEndOpen && sidecar.incarnation === link.incarnation) {
      this.#options.dispatchToSidecar(sidecar, {
        type: "connection_closed",
        connectionId,
      });
    }
    if (routerEndOpen) {
      this.#options.dispatchToRouter(router, {
        type: "connection_closed",
        endpointId: sidecar.id,
        wasReady: established,
        unsent,
      });
    }
    this.#options.runDeferred();
  }

  #connect(link: Link): void {
    const { connectionId, router, sidecar } = link;
    link.established = true;
    const hello = {
      type: "hello",
      protocolVersion: 1,
      failureDomain: "a",
      nonce: new Uint8Array(),
    } as const;
    link.sidecarEndOpen = true;
    link.frames.to_sidecar.push(...link.unsent.splice(0));
    this.#options.dispatchToSidecar(sidecar, {
      type: "connected",
      connectionId,
      hello: {
        ...hello,
        role: "router",
        nodeId: router.id,
        incarnation: 1,
        configVersion: router.configVersion,
      },
    });
    this.#options.dispatchToRouter(router, {
      type: "connected",
      endpointId: sidecar.id,
      hello: {
        ...hello,
        role: "sidecar",
        nodeId: sidecar.id,
        incarnation: sidecar.incarnation,
        configVersion: sidecar.configVersion,
      },
    });
    this.#options.runDeferred();
  }

  #receiveAtRouter({ router, sidecar }: Link, message: Message): void {
    if ("facts" in message && message.facts.state === "draining") {
      router.drainingIncarnations.add(
        `${sidecar.id}/${message.facts.incarnation}`,
      );
    }
    this.#options.dispatchToRouter(router, {
      type: "message",
      endpointId: sidecar.id,
      message,
    });
  }

  #receiveAtSidecar(link: Link, message: Message): void {
    const { connectionId, router, sidecar } = link;
    const { state } = sidecar;
    const { endpointState } = state;
    const wasAdmitted = message.type === "submit" &&
      state.attempts.has(message.attemptId);
    if (message.type === "submit") {
      const { incarnation } = sidecar;
      this.#receivedSubmits.push({ router, sidecar, incarnation, message });
    }
    this.#options.dispatchToSidecar(sidecar, {
      type: "message",
      connectionId,
      message,
    });
    if (
      message.type === "submit" && !wasAdmitted &&
      state.attempts.has(message.attemptId)
    ) {
      this.#options.invariants.checkAdmitted(
        sidecar,
        message,
        endpointState,
        this.#options.nowMs(),
      );
    }
  }

  #closeEnd(link: Link, direction: Direction): void {
    if (direction === "to_router") {
      link.routerEndOpen = false;
      this.#removeLinkIfClosed(link);
      this.#options.dispatchToRouter(link.router, {
        type: "connection_closed",
        endpointId: link.sidecar.id,
        wasReady: true,
        unsent: [],
      });
    } else {
      link.sidecarEndOpen = false;
      this.#removeLinkIfClosed(link);
      this.#options.dispatchToSidecar(link.sidecar, {
        type: "connection_closed",
        connectionId: link.connectionId,
      });
    }
  }

  /** Removes a connection that both ends have closed. */
  #removeLinkIfClosed(link: Link): void {
    if (!link.routerEndOpen && !link.sidecarEndOpen) {
      this.#links = this.#links.filter((other) => other !== link);
    }
  }

  #findOpenLink(router: RouterNode, endpointId: string): Link | undefined {
    return this.#links.find((link) =>
      link.routerEndOpen && link.router === router &&
      link.sidecar.id === endpointId
    );
  }

  #findLink(connectionId: string): Link | undefined {
    return this.#links.find((link) => link.connectionId === connectionId);
  }
}
