/** Publishes to the platform's directory as JSON over HTTP. */
import {request} from 'undici';
import {createSingleUseAgent} from '../../http/single_use_agent.js';
import {timeoutSignal} from '../../utils.js';
import {ClientDirectory} from './client_directory.js';

const TIMEOUT_MS = 2_000;

/** Sends `PUT /directory/<domain>` to the platform. */
export class HttpClientDirectory extends ClientDirectory {
  private readonly agent = createSingleUseAgent(TIMEOUT_MS);

  /** `address` is `host:port`. */
  constructor(private readonly address: string) {
    super();
  }

  override async publish(
    domainId: string,
    addresses: readonly string[],
  ): Promise<void> {
    const answer = await request(
      `http://${this.address}/directory/${encodeURIComponent(domainId)}`,
      {
        method: 'PUT',
        dispatcher: this.agent,
        body: JSON.stringify(addresses),
        headers: {'content-type': 'application/json'},
        signal: timeoutSignal(TIMEOUT_MS),
      },
    );
    await answer.body.dump();
  }
}
