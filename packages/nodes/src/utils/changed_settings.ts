/** Compares the settings before and after a reload. */
import type {NodeSettings} from '@marigoldpost/sites';

/**
 * Gets the names of the settings that changed, sorted.
 * @param before - Settings in force.
 * @param after - Settings read again.
 */
export function findChangedSettings(
  before: NodeSettings,
  after: NodeSettings,
): string[] {
  const names = Object.keys({...before, ...after}) as Array<keyof NodeSettings>;
  return names
    .filter((name) => {
      const [old, current] = [before[name], after[name]];
      return JSON.stringify(old) !== JSON.stringify(current);
    })
    .toSorted();
}
