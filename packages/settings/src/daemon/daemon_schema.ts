/** Schema of a daemon's settings. */
import {
  addressKey,
  choiceKey,
  integerKey,
  ipKey,
  type KeyTable,
  nameKey,
  textKey,
  toOptionalKey,
} from '../schema/key_definition.js';
import {defaultProcessLimits} from './daemon_settings.js';

const portRange = {min: 1, max: 65_535};

/** Key definitions of each section of a daemon's settings. */
export const daemonSchema = {
  daemon: {
    name: nameKey({description: 'Name of the daemon; stable across restarts'}),
    data_centre: nameKey({description: 'Data centre of its VM'}),
    drain_ms: integerKey({
      description: 'Longest wait for requests in flight at shutdown',
      unit: 'ms',
      defaultText: '30000',
      min: 0,
      max: 3_600_000,
    }),
    data_folder: toOptionalKey(
      textKey({
        description:
          'Folder for bulk data, on VMs that have a disk; not used yet',
      }),
    ),
  },
  callers: {
    host: ipKey({description: 'IP for callers and operators'}),
    port: integerKey({
      description: 'Port for callers and operators',
      defaultText: '8080',
      ...portRange,
    }),
    max_body_bytes: integerKey({
      description: 'Largest body of a call',
      unit: 'bytes',
      defaultText: '8388608',
      min: 1024,
      max: 268_435_456,
    }),
  },
  peers: {
    host: ipKey({description: 'IP for peers'}),
    port: integerKey({
      description: 'Port for peers',
      defaultText: '8081',
      ...portRange,
    }),
  },
  platform: {
    address: addressKey({description: 'Address of the object API'}),
    vm_list_address: addressKey({description: 'Address of the VM list'}),
  },
  limits: {
    memory_mb: integerKey({
      description:
        'Memory of the VM; bounds connections, requests and their bodies',
      unit: 'MB',
      defaultText: String(defaultProcessLimits.memoryMb),
      min: 64,
      max: 1_048_576,
    }),
    max_descriptors: integerKey({
      description: 'Open descriptors of the process; bounds connections',
      defaultText: String(defaultProcessLimits.maxDescriptors),
      min: 64,
      max: 1_048_576,
    }),
  },
  tls: {
    certificate: textKey({description: 'File of the certificate, as PEM'}),
    key: textKey({
      description: "File of the certificate's private key, as PEM",
    }),
    authority: textKey({
      description: "File of the authority that signs the peers' certificates",
    }),
  },
  log: {
    level: choiceKey(['debug', 'info', 'warn', 'error'], {
      description: 'Events below this level are not logged',
      defaultText: 'info',
    }),
  },
} as const satisfies Record<string, KeyTable>;
