import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import { connect, createServer } from "node:net";

/** Field of the system's table of connections that names the socket. */
const INODE_FIELD = 9;

/**
 * Forwards connections until it is cut. A cut is silent, like a partition: what
 * is open stays open and carries nothing, and new connections get no byte.
 */
export class CutProxy {
  #server = createServer(
    { allowHalfOpen: true },
    (socket) => this.#accept(socket),
  );
  /** Both sockets of each connection, with the process that opened it. */
  #connections = new Set();
  #isCutFrom = () => false;
  #target;
  #ownerOf;

  /**
   * @param targetAddress Address and port, joined by a colon.
   * @param pids Ids of the processes that are told apart; none by default.
   */
  constructor(targetAddress, pids = () => []) {
    const [host, port] = targetAddress.split(":");
    this.#target = { host, port: Number(port) };
    this.#ownerOf = (socket) => pids().find((pid) => isClient(pid, socket));
  }

  /** Listens at an IP address; port 0 is any free one. Resolves to the port. */
  listen(ip, port = 0) {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, () => resolve(this.#server.address().port));
    });
  }

  /** Cuts the connections of one process, or all if it is left out. */
  cut(pid) {
    this.#isCutFrom = (owner) => pid === undefined || owner === pid;
    for (const { owner, sockets } of this.#connections) {
      if (this.#isCutFrom(owner)) {
        sockets.forEach(stall);
      }
    }
  }

  dispose() {
    this.#server.close();
    for (const { sockets } of this.#connections) {
      sockets.forEach((socket) => socket.destroy());
    }
  }

  #accept(socket) {
    const owner = this.#ownerOf(socket);
    const connection = { owner, sockets: [socket] };
    this.#connections.add(connection);
    socket.on("error", () => {});
    if (this.#isCutFrom(owner)) {
      socket.pause();
      return;
    }
    const target = connect({ ...this.#target, allowHalfOpen: true });
    connection.sockets.push(target);
    target.on("error", () => {});
    socket.pipe(target);
    target.pipe(socket);
    const closeBoth = () => {
      if (!this.#isCutFrom(owner)) {
        this.#connections.delete(connection);
        socket.destroy();
        target.destroy();
      }
    };
    socket.once("close", closeBoth);
    target.once("close", closeBoth);
  }
}

function stall(socket) {
  socket.unpipe();
  socket.pause();
}

/** Whether a process has the other end of an accepted connection. */
function isClient(pid, { localPort, remotePort }) {
  const ends = [portSuffix(remotePort), portSuffix(localPort)];
  try {
    const fields = readFileSync(`/proc/${pid}/net/tcp`, "utf8").split("\n")
      .map((line) => line.trim().split(/\s+/))
      .find(([, local, remote]) =>
        local?.endsWith(ends[0]) && remote.endsWith(ends[1])
      );
    const link = `socket:[${fields?.[INODE_FIELD]}]`;
    return readdirSync(`/proc/${pid}/fd`).some((fd) =>
      linkOf(`/proc/${pid}/fd/${fd}`) === link
    );
  } catch {
    // The process has ended.
    return false;
  }
}

/** End of an address as the system's table of connections writes it. */
function portSuffix(port) {
  return `:${port.toString(16).toUpperCase().padStart(4, "0")}`;
}

function linkOf(path) {
  try {
    return readlinkSync(path);
  } catch {
    // The descriptor was closed meanwhile.
    return undefined;
  }
}
