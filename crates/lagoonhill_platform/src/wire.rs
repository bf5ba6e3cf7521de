//! The JSON shapes of the etcd v3 API that are used here, as its published
//! gateway documentation gives them: keys and values in base64, 64-bit
//! integers as strings, defaults left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes, in base64 on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Base64(pub Vec<u8>);

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit integer, as a string on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// `RangeRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// End of the range, exclusive; absent for one key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

/// `KeyValue`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Base64,
    /// Value.
    pub value: Base64,
    /// Revision of the last change.
    pub mod_revision: Int64,
    /// Revision of the creation.
    pub create_revision: Int64,
}

/// `ResponseHeader`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision.
    pub revision: Int64,
}

/// `RangeResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Values found.
    pub kvs: Vec<KeyValue>,
}

/// `Compare`, on the revisions used here.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// `MOD`.
    pub target: String,
    /// `EQUAL`.
    pub result: String,
    /// Key.
    pub key: Base64,
    /// What is compared; 0 for a key that is absent.
    pub mod_revision: Int64,
}

/// `PutRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Base64,
    /// Value.
    pub value: Base64,
    /// Lease; 0 for none.
    pub lease: Int64,
}

/// `DeleteRangeRequest`, for one key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// Key.
    pub key: Base64,
}

/// `RequestOp`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A removal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// `TxnRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Done when they hold.
    pub success: Vec<RequestOp>,
    /// Done when they do not.
    pub failure: Vec<RequestOp>,
}

/// `ResponseOp`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Answer to a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// `TxnResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// One answer for each operation.
    pub responses: Vec<ResponseOp>,
}

/// `LeaseGrantRequest` and its answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Lease; 0 lets the store choose.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Seconds to live.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// The answer to a keep-alive.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The lease; a time to live of 0 means that it is gone.
    pub result: Lease,
}

/// `WatchCreateRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Base64,
    /// End of the range, exclusive.
    pub range_end: Base64,
    /// First revision wanted.
    pub start_revision: Int64,
}

/// `WatchRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Opens a watch.
    pub create_request: WatchCreate,
}

/// `Event`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// `DELETE`, or left out for a put.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// What changed.
    pub kv: KeyValue,
}

/// `WatchResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: Header,
    /// Set on the first answer.
    pub created: bool,
    /// Changes.
    pub events: Vec<Event>,
}

/// One line of a watch's stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// The answer.
    pub result: WatchResponse,
}

/// The end of the range of all keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end);
        }
    }
    Base64(vec![0])
}
