/** Dependencies between services. */
import type {ServiceId} from '@marigoldpost/common';

/** Services and what each needs directly. */
export type Dependencies = ReadonlyMap<ServiceId, readonly ServiceId[]>;

/**
 * Gets everything that a service needs, directly and through others.
 * @param service - The service; not part of the result unless in a cycle.
 * @param dependencies - The graph.
 */
export function getAllDependencies(
  service: ServiceId,
  dependencies: Dependencies,
): ReadonlySet<ServiceId> {
  const found = new Set<ServiceId>();
  const pending = [...(dependencies.get(service) ?? [])];
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    if (found.has(next)) continue;
    found.add(next);
    pending.push(...(dependencies.get(next) ?? []));
  }
  return found;
}

/**
 * Gets the services of a cycle through one service, that service first, or
 * nothing when it is in none.
 * @param service - The service.
 * @param dependencies - The graph.
 */
export function getCycle(
  service: ServiceId,
  dependencies: Dependencies,
): readonly ServiceId[] | undefined {
  const paths: ServiceId[][] = [[service]];
  const visited = new Set<ServiceId>();
  for (let path = paths.shift(); path !== undefined; path = paths.shift()) {
    const last = path.at(-1) as ServiceId;
    for (const next of dependencies.get(last) ?? []) {
      if (next === service) return path;
      if (visited.has(next)) continue;
      visited.add(next);
      paths.push([...path, next]);
    }
  }
  return undefined;
}
