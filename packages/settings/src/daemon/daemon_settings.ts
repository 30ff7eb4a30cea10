/** Settings of one daemon after they have been checked. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';

/** Files for TLS; read again when they change. */
export interface TlsFiles {
  readonly certificatePath: string;
  readonly keyPath: string;
  /** Authority that signs the peers' certificates. */
  readonly authorityPath: string;
}

/** Settings of one daemon. */
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
  /** Folder for bulk data, on the VMs that have a disk. */
  readonly dataFolder?: string;
  readonly tls?: TlsFiles;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  /** Largest body of a call, in bytes. */
  readonly maxBodyBytes: number;
  /** Longest wait for requests in flight at shutdown, in milliseconds. */
  readonly drainMs: number;
}
