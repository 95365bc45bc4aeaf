//! Parsing of headers, bodies and paths of callers. Errors name the invalid field.

use crate::api::{CallBody, CreateBody};
use actix_web::HttpRequest;
use luglink_daemon::{CallRequest, CallTarget, CreateRequest, LookupRequest, ProgramParameters};
use luglink_engine_api::{
    ChatRequest, HEADER_CLASS, HEADER_IDEMPOTENCY_KEY, HEADER_MODEL_ADAPTER, HEADER_PRIORITY,
    HEADER_PROGRAM, HEADER_REPEATABLE, HEADER_SEQUENCE, HEADER_TENANT,
};
use luglink_types::{
    Budget, ClassName, IdempotencyKey, ModelName, Priority, ProgramId, Refusal, RefusalCode,
    Sequence, ServiceName, TenantName,
};
use serde::de::DeserializeOwned;

/// Tenant and class of calls that do not state any.
const DEFAULT_NAME: &str = "default";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Maximum number of messages of one call.
const MAX_MESSAGES: usize = 1_024;

fn invalid(field: &str, rule: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(RefusalCode::InvalidRequest, format!("{field}: {rule}"))
}

/// Parses a JSON body.
pub(crate) fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| invalid("body", error))
}

pub(crate) fn program_id(text: &str) -> Result<ProgramId, Refusal> {
    text.parse().map_err(|error| invalid("program", error))
}

pub(crate) fn create(request: &HttpRequest, body: CreateBody) -> Result<CreateRequest, Refusal> {
    let parent = body.parent.as_deref().map(program_id).transpose()?;
    Ok(CreateRequest {
        program: ProgramParameters {
            tenant: TenantName(body.tenant),
            class: ClassName(body.class),
            model: ModelName(body.model),
            adapter: body.adapter,
            priority: body.priority,
            budget: body.budget,
        },
        parent,
        key: key(request)?,
    })
}

pub(crate) fn call(
    request: &HttpRequest,
    program: ProgramId,
    body: CallBody,
    stream: bool,
) -> Result<CallRequest, Refusal> {
    check_messages(body.messages.len())?;
    Ok(CallRequest {
        target: CallTarget::Existing(program),
        sequence: body.sequence.map(Sequence),
        key: key(request)?,
        messages: body.messages,
        max_output_tokens: body.max_tokens,
        repeatable: body.repeatable,
        stream,
    })
}

/// Parses an OpenAI-compatible call. Headers carry the parameters that the protocol has no field
/// for.
pub(crate) fn chat(request: &HttpRequest, body: ChatRequest) -> Result<CallRequest, Refusal> {
    check_messages(body.messages.len())?;
    let target = match header(request, HEADER_PROGRAM)? {
        Some(program) => CallTarget::Existing(program_id(program)?),
        None => CallTarget::OneShot(Box::new(one_shot(request, &body)?)),
    };
    let sequence = header(request, HEADER_SEQUENCE)?
        .map(|text| {
            text.parse()
                .map_err(|_| invalid(HEADER_SEQUENCE, "must be a whole number"))
        })
        .transpose()?;
    Ok(CallRequest {
        target,
        sequence: sequence.map(Sequence),
        key: key(request)?,
        messages: body.messages,
        max_output_tokens: body.max_tokens,
        repeatable: flag(request, HEADER_REPEATABLE, false)?,
        stream: body.stream,
    })
}

fn one_shot(request: &HttpRequest, body: &ChatRequest) -> Result<ProgramParameters, Refusal> {
    let name = |header_name| -> Result<String, Refusal> {
        Ok(header(request, header_name)?
            .unwrap_or(DEFAULT_NAME)
            .to_owned())
    };
    Ok(ProgramParameters {
        tenant: TenantName(name(HEADER_TENANT)?),
        class: ClassName(name(HEADER_CLASS)?),
        model: ModelName(body.model.clone()),
        adapter: header(request, HEADER_MODEL_ADAPTER)?.map(str::to_owned),
        priority: priority(request)?,
        budget: Budget::default(),
    })
}

pub(crate) fn lookup(
    request: &HttpRequest,
    service: &str,
    path: &str,
    body: &[u8],
) -> Result<LookupRequest, Refusal> {
    let method = request.method();
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    let content_type = header(request, "content-type")?.map(str::to_owned);
    Ok(LookupRequest {
        service: ServiceName(service.to_owned()),
        method: method.to_string(),
        path: format!("/{path}{separator}{query}"),
        content_type,
        body: body.to_vec(),
        repeatable: flag(request, HEADER_REPEATABLE, method.is_idempotent())?,
    })
}

fn check_messages(count: usize) -> Result<(), Refusal> {
    if count == 0 || count > MAX_MESSAGES {
        return Err(invalid(
            "messages",
            format!("must be 1 to {MAX_MESSAGES} messages, not {count}"),
        ));
    }
    Ok(())
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Refusal> {
    request
        .headers()
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| invalid(name, "must be visible ASCII text"))
        })
        .transpose()
}

fn key(request: &HttpRequest) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(text) = header(request, HEADER_IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let rule = format!("must be 1 to {MAX_KEY_BYTES} bytes");
        return Err(invalid(HEADER_IDEMPOTENCY_KEY, rule));
    }
    if text.starts_with('~') {
        return Err(invalid(HEADER_IDEMPOTENCY_KEY, "must not begin with `~`"));
    }
    Ok(Some(IdempotencyKey(text.to_owned())))
}

fn flag(request: &HttpRequest, name: &str, default: bool) -> Result<bool, Refusal> {
    match header(request, name)? {
        None => Ok(default),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(invalid(name, "must be true or false")),
    }
}

fn priority(request: &HttpRequest) -> Result<Option<Priority>, Refusal> {
    match header(request, HEADER_PRIORITY)? {
        None => Ok(None),
        Some("interactive") => Ok(Some(Priority::Interactive)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("background") => Ok(Some(Priority::Background)),
        Some(_) => Err(invalid(
            HEADER_PRIORITY,
            "must be interactive, normal or background",
        )),
    }
}
