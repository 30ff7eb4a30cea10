/** Manages the HTTP/2 session of a link to a peer. */
import type {ClientHttp2Stream} from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

/**
 * Session manager that handles errors of its sessions until they have closed. A
 * session emits its error after it has failed; the base class may have been
 * aborted and have removed its listener by then.
 */
export class PeerSessionManager extends Http2SessionManager {
  override async request(
    ...parameters: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...parameters);
    // The base class reports the error of a session that it still uses.
    stream.session?.off('error', ignoreError).on('error', ignoreError);
    return stream;
  }
}

function ignoreError(): void {}
