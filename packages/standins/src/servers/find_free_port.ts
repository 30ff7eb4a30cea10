/** Ports for daemons whose peers must know them ahead of the start. */
import {type AddressInfo, createServer} from 'node:net';

const host = '127.0.0.1';

/** Gets a loopback port that nothing listens on. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
