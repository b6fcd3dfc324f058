import { Buffer } from 'node:buffer';

/** The answers in what a client has read: with a length, or up to the end of the connection. */
export function readAnswers({ chunks, end }) {
  const answers = [];
  let bytes = Buffer.concat(chunks);
  for (;;) {
    const headEnd = bytes.indexOf('\r\n\r\n');
    if (headEnd < 0) return answers;
    const head = bytes.subarray(0, headEnd).toString('latin1');
    const length = /^content-length: (\d+)$/im.exec(head)?.[1];
    const rest = bytes.subarray(headEnd + 4);
    const isWhole = length === undefined ? end === 'fin' : rest.length >= Number(length);
    const body = length === undefined ? rest : rest.subarray(0, Number(length));
    answers.push({
      status: Number(head.split(' ')[1]),
      id: /^x-request-id: (.*)$/im.exec(head)?.[1] ?? '',
      isSigned: /^x-server-signature: /im.test(head),
      hasLength: length !== undefined,
      isWhole,
      body,
    });
    bytes = rest.subarray(body.length);
  }
}
