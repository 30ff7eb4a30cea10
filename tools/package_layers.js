/**
 * The order of the workspace's packages. A package may depend only on
 * packages that stand before it.
 */
export const packageLayers = [
  'common',
  'settings',
  'telemetry',
  'platform',
  'targets',
  'journal',
  'programs',
  'peers',
  'limits',
  'scheduler',
  'entry',
  'operations',
  'sites',
  'turns',
  'dispatch',
  'gateway',
  'nodes',
  'platform-adapter',
  'daemon',
  'standins',
  'bench',
  'cli',
];

/**
 * Gets the folder of a package, from the root of the workspace.
 * @param name - A name of `packageLayers`.
 */
export function getPackageFolder(name) {
  return name === 'platform-adapter' ? 'platform' : `packages/${name}`;
}
