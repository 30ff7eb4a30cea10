/**
 * Packages of the workspace in layer order. A package may depend only on
 * packages listed before it; the linter enforces this.
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
 * Gets the folder of a package, relative to the root of the workspace.
 * @param name - Entry of `packageLayers`.
 */
export function getPackageFolder(name) {
  return name === 'platform-adapter' ? 'platform' : `packages/${name}`;
}
