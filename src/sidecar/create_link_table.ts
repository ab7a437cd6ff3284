/**
 * Holds the links of this node: those that it opened, and those that other
 * nodes opened to it.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import type { DialledLink } from "../links/dial_link.ts";
import type { Gossip } from "../links/messages.ts";

/** A link that another node opened. */
interface AcceptedLink {
  readonly send: (message: Gossip) => void;
  isNeighbor: boolean;
}

interface OwnLink {
  readonly link: DialledLink;
  isNeighbor: boolean;
  /** Whether the link is closed once no call uses it. */
  isRetired: boolean;
}

export interface LinkTable {
  /** Opens a link by `dial`, or keeps the present one. */
  add(node: NodeId, isNeighbor: boolean, dial: () => DialledLink): void;
  /** Closes a link once no call uses it. */
  retire(node: NodeId): void;
  setNeighbor(node: NodeId, isNeighbor: boolean): void;
  isNeighbor(node: NodeId): boolean;
  /** Records the newest link that a node opened to this one. */
  accept(
    node: NodeId,
    isNeighbor: boolean,
    send: (message: Gossip) => void,
  ): void;
  acceptedClosed(node: NodeId, send: (message: Gossip) => void): void;
  /** The link that this node opened to another. */
  find(node: NodeId): DialledLink | undefined;
  /** Whether a message can be sent to a node. */
  canSend(node: NodeId): boolean;
  send(node: NodeId, message: Gossip): void;
  /** Nodes with which this node exchanges the state of the fleet now. */
  neighbors(): readonly NodeId[];
  /** All nodes with an open link in either direction. */
  linkedNodes(): ReadonlySet<NodeId>;
  /** Pings the nodes or closes unresponsive links, where due. */
  check(): void;
  /** Pings all nodes that have been silent for a moment. */
  probe(): void;
  size(): number;
  close(): void;
}

/** Creates an empty table. */
export function createLinkTable(): LinkTable {
  const own = new Map<NodeId, OwnLink>();
  const accepted = new Map<NodeId, AcceptedLink>();

  function canSend(node: NodeId): boolean {
    return own.get(node)?.link.isOpen() === true || accepted.has(node);
  }

  return {
    add(node, isNeighbor, dial) {
      const known = own.get(node);
      if (known === undefined) {
        own.set(node, { link: dial(), isNeighbor, isRetired: false });
        return;
      }
      known.isNeighbor = isNeighbor;
      known.isRetired = false;
    },
    retire(node) {
      const known = own.get(node);
      if (known === undefined) return;
      known.isNeighbor = false;
      known.isRetired = true;
    },
    setNeighbor(node, isNeighbor) {
      const known = own.get(node);
      if (known !== undefined) known.isNeighbor = isNeighbor;
    },
    isNeighbor: (node) => own.get(node)?.isNeighbor === true,
    accept(node, isNeighbor, send) {
      accepted.set(node, { send, isNeighbor });
    },
    acceptedClosed(node, send) {
      if (accepted.get(node)?.send === send) accepted.delete(node);
    },
    find: (node) => own.get(node)?.link,
    canSend,
    send(node, message) {
      const link = own.get(node)?.link;
      if (link?.isOpen() === true) link.send(message);
      else accepted.get(node)?.send(message);
    },
    neighbors() {
      const nodes = new Set<NodeId>();
      for (const [node, { link, isNeighbor }] of own) {
        if (isNeighbor && link.isOpen()) nodes.add(node);
      }
      for (const [node, { isNeighbor }] of accepted) {
        if (isNeighbor) nodes.add(node);
      }
      return [...nodes];
    },
    linkedNodes() {
      const nodes = new Set(accepted.keys());
      for (const [node, { link }] of own) if (link.isOpen()) nodes.add(node);
      return nodes;
    },
    check() {
      for (const [node, { link, isRetired }] of own) {
        if (!isRetired || link.hasCalls()) {
          link.check();
          continue;
        }
        own.delete(node);
        link.close();
      }
    },
    probe() {
      for (const { link } of own.values()) link.probe();
    },
    size: () => own.size,
    close() {
      for (const { link } of own.values()) link.close();
      own.clear();
    },
  };
}
