/** Connections by target. */
import type {TargetEntry} from '@marigoldpost/sites';
import {TargetAgent} from './target_agent.js';

/** Agents of every listed target; one that starts again gets a new agent. */
export class TargetAgents {
  private readonly agents = new Map<string, TargetAgent>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): TargetAgents {
    return new TargetAgents();
  }

  /**
   * Gets the agent of a target.
   * @param target - The target.
   */
  get(target: TargetEntry): TargetAgent {
    const key = toKey(target);
    const known = this.agents.get(key);
    if (known !== undefined) return known;
    const added = TargetAgent.create();
    this.agents.set(key, added);
    return added;
  }

  /**
   * Retires the agents of targets that are no longer listed.
   * @param targets - The listed targets.
   */
  keepOnly(targets: readonly TargetEntry[]): void {
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
