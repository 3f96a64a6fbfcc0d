build-address-undefined/src/admit/admit_share.o: src/admit/admit_share.c \
 src/admit/admit.h src/base/base.h
src/admit/admit.h:
src/base/base.h:
