import {
  findEndpoint,
  liveRouters,
  type Message,
  type MessageOf,
  type RouterState,
} from "@anvildeal/core";
import type { PeerTransport } from "../config_sync/index.js";
import {
  type Disposable,
  Emitter,
  InboundConnections,
  PeerDialer,
  type PeerMessage,
  PeerServer,
  seedAddress,
} from "../net/index.js";
import type { NodeServices } from "../node_services.js";

/**
 * Peer connections of a router: those that it opens to sidecars and other
 * routers, and those that other routers open to it.
 */
export class RouterConnections implements PeerTransport, Disposable {
  /** Connections to the sidecars, by endpoint id. */
  readonly sidecars: PeerDialer;
  readonly #outboundRouters: PeerDialer;
  readonly #server: PeerServer;
  readonly #inboundRouters = new InboundConnections();
  readonly #services: NodeServices;
  readonly #state: RouterState;
  readonly #onRouterMessage = new Emitter<PeerMessage>();
  readonly #onRouterReady = new Emitter<MessageOf<"hello">>();
  readonly #onRouterConnectFailed = new Emitter<string>();

  /** Fires for each message of another router. */
  readonly onRouterMessage = this.#onRouterMessage.event;
  /** Fires when the handshake with a router that was dialed is complete. */
  readonly onRouterReady = this.#onRouterReady.event;
  /** Fires when a connection attempt to a router fails; the value is its id. */
  readonly onRouterConnectFailed = this.#onRouterConnectFailed.event;

  constructor(
    services: NodeServices,
    state: RouterState,
    configVersion: () => number,
  ) {
    this.#services = services;
    this.#state = state;
    const options = () => services.peerOptions(configVersion());
    this.sidecars = new PeerDialer(options);
    this.#outboundRouters = new PeerDialer(options);
    this.#server = new PeerServer(options);
    this.#server.onConnection((connection) => {
      this.#inboundRouters.add(connection);
      connection.onClose(({ reason }) => this.#logClose("inbound", reason));
    });
    this.#inboundRouters.onMessage((item) => this.#onRouterMessage.fire(item));
    this.#outboundRouters.onMessage((item) => this.#onRouterMessage.fire(item));
    this.#outboundRouters.onReady(({ hello }) =>
      this.#onRouterReady.fire(hello)
    );
    this.#outboundRouters.onClose(({ peerId, reason, wasReady }) => {
      this.#logClose(peerId, reason);
      if (!wasReady) {
        this.#onRouterConnectFailed.fire(peerId);
      }
    });
    this.sidecars.onClose(({ peerId, reason }) =>
      this.#logClose(peerId, reason)
    );
  }

  listen(host: string, port: number): Promise<number> {
    return this.#server.listen(host, port);
  }

  /**
   * Sends a message to a sidecar, a router or a seed peer, over a new
   * connection if there is none. Drops the message when the address of the peer
   * is unknown.
   */
  send(peerId: string, message: Message): void {
    const seed = seedAddress(peerId);
    const { membership } = this.#state;
    const sidecar = findEndpoint(membership, peerId);
    if (seed !== undefined) {
      this.#outboundRouters.send(peerId, seed, message);
    } else if (sidecar) {
      this.sidecars.send(peerId, sidecar.address, message);
    } else if (!this.#inboundRouters.send(peerId, message)) {
      const address = membership.instances.get(peerId)?.row.address;
      if (address !== undefined) {
        this.#outboundRouters.send(peerId, address, message);
      }
    }
  }

  /** Other routers that are listed, live and not suspected. */
  peers(): readonly string[] {
    const { nodeId } = this.#services.identity;
    const nowMs = this.#services.clock.nowMs();
    return liveRouters(this.#state.membership, nowMs)
      .filter((id) => id !== nodeId);
  }

  /**
   * Other routers of the instance list, including suspected and leaving ones.
   */
  listedRouters(): readonly string[] {
    const { nodeId } = this.#services.identity;
    const { routerIds, instances } = this.#state.membership;
    return [...routerIds]
      .filter((id) => id !== nodeId && instances.get(id)?.listed === true);
  }

  dispose(): void {
    this.#server.dispose();
    this.#inboundRouters.dispose();
    this.#outboundRouters.dispose();
    this.sidecars.dispose();
    this.#onRouterMessage.dispose();
    this.#onRouterReady.dispose();
    this.#onRouterConnectFailed.dispose();
  }

  #logClose(peer: string, reason: string): void {
    this.#services.logger.log("peer_closed", { peer, reason });
  }
}
