import { request as httpRequest } from 'node:http';

/** Sends one small HTTP request; resolves with its status, or with 0 if there was no response. */
export function send(options, body) {
  return new Promise((resolve) => {
    const message = httpRequest({ agent: false, timeout: 1_000, ...options }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
      response.on('error', () => resolve(0));
    });
    message.on('timeout', () => message.destroy());
    message.on('error', () => resolve(0));
    message.end(body);
  });
}
