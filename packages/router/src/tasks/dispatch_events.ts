/** Dispatch events that the owner of a server sends to the entry instance. */
import {create} from '@bufbuild/protobuf';
import {DispatchEventSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent} from '@buckthornbeam/protocol';
import type {RouterError} from '@buckthornbeam/shared';

type EventCase = NonNullable<DispatchEvent['event']['case']>;
type EventValue<C extends EventCase> = Extract<
  DispatchEvent['event'],
  {case: C}
>['value'];
type EventInit<C extends EventCase> = Partial<
  Omit<EventValue<C>, '$typeName' | '$unknown'>
>;

export function makeEvent<C extends EventCase>(
  attemptId: string,
  name: C,
  value: EventInit<C>,
): DispatchEvent {
  return create(DispatchEventSchema, {
    attemptId,
    event: {case: name, value} as never,
  });
}

/** Makes the final event of a failed attempt; `offset` is in tokens. */
export function makeFailure(
  attemptId: string,
  offset: number,
  error: RouterError,
): DispatchEvent {
  return makeEvent(attemptId, 'failed', {
    code: error.code,
    detail: error.message,
    outcome: error.outcome,
    offset,
    retryAfterMs: error.retryAfterMs ?? 0,
  });
}
