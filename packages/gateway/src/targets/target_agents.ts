/** Holds one connection pool per target. */
import type {TargetEntry} from '@marigoldpost/sites';
import net from 'node:net';
import {TargetAgent, type TargetConnector} from './target_agent.js';

/** Agents by target; a restarted target gets a new agent. */
export class TargetAgents {
  private readonly agents = new Map<string, TargetAgent>();

  private constructor(private readonly connector: TargetConnector) {}

  /**
   * Creates a set without agents.
   * @param connector - Opens connections; plain TCP by default.
   */
  static create(connector: TargetConnector = net.connect): TargetAgents {
    return new TargetAgents(connector);
  }

  /**
   * Gets the agent of a target, creating it on first use.
   * @param target - Target with its address and start time.
   */
  get(target: TargetEntry): TargetAgent {
    const key = toKey(target);
    const known = this.agents.get(key);
    if (known !== undefined) return known;
    const added = TargetAgent.create(this.connector);
    this.agents.set(key, added);
    return added;
  }

  /**
   * Retires the agents of targets that are not listed.
   * @param targets - Targets that may receive requests.
   */
  retireUnlisted(targets: readonly TargetEntry[]): void {
    const keys = new Set(targets.map(toKey));
    for (const [key, agent] of this.agents) {
      if (keys.has(key)) continue;
      agent.retire();
      this.agents.delete(key);
    }
  }
}

function toKey({id, address, startedAtMs}: TargetEntry): string {
  return `${id} ${address.host}:${address.port} ${startedAtMs}`;
}
