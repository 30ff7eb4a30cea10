/** Validated settings of one daemon. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';

/** Paths of PEM files for TLS; the files are reloaded when they change. */
export interface TlsFiles {
  readonly certificatePath: string;
  readonly keyPath: string;
  /** Certificate authority that signs the peers' certificates. */
  readonly authorityPath: string;
}

/** Limits of the process by default. */
export const defaultProcessLimits = {
  memoryMb: 1024,
  maxDescriptors: 4096,
} as const;

/** Settings of one daemon, with defaults applied. */
export interface DaemonSettings {
  readonly name: DaemonId;
  readonly dataCentre: DataCentreId;
  /** IP and port for callers and operators. */
  readonly callerHost: string;
  readonly callerPort: number;
  /** IP and port for peers. */
  readonly peerHost: string;
  readonly peerPort: number;
  /** `http://<ip>:<port>` of the object API. */
  readonly platformAddress: string;
  /** `http://<ip>:<port>` of the VM list. */
  readonly vmListAddress: string;
  /** Folder for bulk data, on VMs that have a disk. */
  readonly dataFolder?: string;
  readonly tls?: TlsFiles;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  /** Largest body of a call, in bytes. */
  readonly maxBodyBytes: number;
  /** Memory of the VM, in MB. */
  readonly memoryMb: number;
  /** Descriptors that the process may have open. */
  readonly maxDescriptors: number;
  /** Longest wait for requests in flight at shutdown, in milliseconds. */
  readonly drainMs: number;
}
