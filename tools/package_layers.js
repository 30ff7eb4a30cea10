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
  'daemon',
  'standins',
  'bench',
  'cli',
];
