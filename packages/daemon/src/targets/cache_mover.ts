/** Carries out the scheduler's releases and moves of cache. */
import type {CacheAction} from '@marigoldpost/scheduler';
import type {TargetRegistry} from '@marigoldpost/targets';

/**
 * Carries out one action. A failed one costs at most a prefill or some memory
 * until the engine evicts it, so it is not repeated.
 * @param registry - The daemon's targets.
 * @param action - The action.
 */
export async function moveCache(
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
      await engine.moveProgram(action.program, address);
    }
  } catch {
    // The engine is away; its memory goes with it or ages out.
  }
}
