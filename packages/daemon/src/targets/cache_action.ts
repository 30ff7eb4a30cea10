/** Applies the scheduler's cache actions: releases and moves. */
import type {CacheAction} from '@marigoldpost/scheduler';
import type {TargetRegistry} from '@marigoldpost/targets';

/**
 * Applies one action. A failure costs at most a prefill, or memory until the
 * engine evicts it, so the action is not retried.
 * @param registry - Provides the engine's client and the destination's address.
 * @param action - Which program's cache to release or to move.
 */
export async function applyCacheAction(
  registry: TargetRegistry,
  action: CacheAction,
): Promise<void> {
  try {
    const engine = registry.getEngineClientOrThrow(action.target);
    if (action.kind === 'release') {
      await engine.releaseProgram(action.program);
      return;
    }
    const destination = action.destination;
    const address = destination && registry.getTarget(destination)?.address;
    if (address !== undefined) {
      await engine.copyProgramCache(action.program, address);
    }
  } catch {
    // The engine is unreachable; its memory is lost with it or evicted later.
  }
}
